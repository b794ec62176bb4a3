package idempotency

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"currantpulley/internal/config"
	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
)

// dispatcher is a filter that stands in for dispatch and runs a test's function.
type dispatcher func(x *pipe.Exchange) error

func (d dispatcher) Request(x *pipe.Exchange) error { return d(x) }
func (d dispatcher) Response(*pipe.Exchange)        {}

type fixture struct {
	t      *testing.T
	filter *Filter
	runs   int
}

func newFixture(t *testing.T) *fixture {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	l := loop.New()
	c := calls.New(calls.Options{
		Loop: l, Log: memlog.New(nil), Pool: peer.NewPool(nil), Self: "vm", Recorder: event.Discard{},
		View:   func() fleet.View { return fleet.View{Self: "vm", VMs: []fleet.VM{{Name: "vm"}}} },
		Config: func() *config.Config { return &config.Config{} },
	})
	go l.Run(ctx)
	go c.Run(ctx)
	return &fixture{t: t, filter: New(c, event.Discard{})}
}

// send runs a request through the filter and d. An empty key sends no key header.
func (f *fixture) send(key, body string, d dispatcher) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	x := &pipe.Exchange{
		Ctx: f.t.Context(), Method: http.MethodPost, Path: "/credit", Header: http.Header{}, Body: []byte(body), Writer: w,
		Workspace: &config.Workspace{Name: "w"}, Route: &config.Route{Name: "credit"},
	}
	if key != "" {
		x.Header.Set(KeyHeader, key)
	}
	return w, pipe.Pipe{f.filter, d}.Run(x)
}

// answerWith returns a dispatcher that answers with a body of size bytes.
func (f *fixture) answerWith(size int) dispatcher {
	return func(x *pipe.Exchange) error {
		if err := x.BeforeSend(); err != nil {
			return err
		}
		x.Sent = true
		f.runs++
		x.Writer.Header().Set("X-Note", "7")
		x.Writer.WriteHeader(http.StatusCreated)
		_, err := x.Writer.Write([]byte(strings.Repeat("a", size)))
		return err
	}
}

// failWith returns a dispatcher that fails with err. sent tells whether a byte of
// the request left before.
func failWith(sent bool, err error) dispatcher {
	return func(x *pipe.Exchange) error {
		x.Sent = sent
		return err
	}
}

func TestRepeatedCall(t *testing.T) {
	reset := refusal.NewUnknown(refusal.UpstreamFailed, nil, "reset")
	busy := refusal.New(refusal.UpstreamFailed, "the service states that it did not run")
	full := refusal.New(refusal.Overloaded, "full")
	for name, c := range map[string]struct {
		first  func(f *fixture) dispatcher
		status int            // of the repeat; 0: refused
		code   refusal.Code   // of the repeat's refusal
		effect refusal.Effect // of the repeat's refusal
		runs   int
	}{
		"answered":                {func(f *fixture) dispatcher { return f.answerWith(10) }, http.StatusCreated, "", "", 1},
		"too large to keep":       {func(f *fixture) dispatcher { return f.answerWith(bodyMax + 1) }, 0, refusal.OutcomeUnknown, refusal.Unknown, 1},
		"reset after the send":    {func(*fixture) dispatcher { return failWith(true, reset) }, 0, refusal.OutcomeUnknown, refusal.Unknown, 0},
		"refused by service":      {func(*fixture) dispatcher { return failWith(true, busy) }, 0, refusal.UpstreamFailed, refusal.NotRun, 0},
		"refused before the send": {func(*fixture) dispatcher { return failWith(false, full) }, http.StatusCreated, "", "", 1},
		"nothing was answered":    {func(*fixture) dispatcher { return failWith(true, nil) }, 0, refusal.OutcomeUnknown, refusal.Unknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			_, _ = f.send("k", "body", c.first(f))
			w, err := f.send("k", "body", f.answerWith(10))
			if c.status != 0 {
				if err != nil || w.Code != c.status || w.Body.Len() != 10 || w.Header().Get("X-Note") != "7" {
					t.Fatalf("repeat answered with status %d, headers %v, error %v", w.Code, w.Header(), err)
				}
			} else if r := refusal.From(err); r.Code != c.code || r.Effect != c.effect {
				t.Fatalf("repeat returned error %v", err)
			}
			if f.runs != c.runs {
				t.Fatalf("the call ran %d times, want %d", f.runs, c.runs)
			}
		})
	}
}

func TestInvalidKeyIsRefused(t *testing.T) {
	f := newFixture(t)
	for key, code := range map[string]refusal.Code{"": refusal.KeyRequired, strings.Repeat("k", keyMax+1): refusal.BadRequest} {
		if _, err := f.send(key, "body", f.answerWith(1)); err == nil || refusal.From(err).Code != code || refusal.From(err).Status() != http.StatusBadRequest {
			t.Errorf("key of %d bytes returned error %v", len(key), err)
		}
	}
	if f.runs != 0 {
		t.Errorf("the call ran %d times, want 0", f.runs)
	}
}

func TestSecondSendIsRefused(t *testing.T) {
	f := newFixture(t)
	_, err := f.send("k", "body", func(x *pipe.Exchange) error {
		if err := f.answerWith(1)(x); err != nil {
			return err
		}
		return f.answerWith(1)(x)
	})
	if err == nil || refusal.From(err).Effect != refusal.Unknown || f.runs != 1 {
		t.Fatalf("the call ran %d times, want 1; error %v", f.runs, err)
	}
}
