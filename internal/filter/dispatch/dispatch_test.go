package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

// countingBudget allows everything and counts it.
type countingBudget struct{ balance atomic.Int64 }

func (b *countingBudget) Deposit(share float64) { b.balance.Add(int64(share)) }
func (b *countingBudget) Allow() bool           { b.balance.Add(-1); return true }

// taken returns how many attempts were taken and not given back.
func (b *countingBudget) taken() int64 { return -b.balance.Load() }

// listPicker picks the first upstream of a list that was not tried.
type listPicker struct {
	addresses  []string
	hedgeAfter time.Duration
}

func (p listPicker) Pick(_ context.Context, _ *pipe.Exchange, tried []string) (pipe.Choice, error) {
	for _, a := range p.addresses {
		if !slices.Contains(tried, a) {
			u := &snapshot.Upstream{Upstream: &config.Upstream{Name: a, Address: a}}
			return pipe.Choice{Upstream: u, Weights: "w1", HedgeAfter: p.hedgeAfter}, nil
		}
	}
	return pipe.Choice{}, refusal.New(refusal.NoUpstream, "none is left")
}

// fixture is a dispatch filter with budgets that count.
type fixture struct {
	*Filter
	retries, hedges countingBudget
}

func newFixture() *fixture {
	f := &fixture{}
	f.Filter = New(Options{
		Engine:   upstream.NewHTTPEngine(upstream.NewTransport()),
		Service:  upstream.NewService(upstream.NewTransport(), upstream.NewOnceTransport()),
		Retries:  &f.retries,
		Hedges:   &f.hedges,
		Recorder: event.Discard{},
	})
	return f
}

// newExchange returns a model request that may be sent to the upstreams of p.
func newExchange(t *testing.T, p listPicker) *pipe.Exchange {
	return &pipe.Exchange{
		Ctx: t.Context(), ID: "x", Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second), Method: http.MethodPost,
		Path: "/v1/completions", Header: http.Header{}, Writer: httptest.NewRecorder(), Body: []byte("{}"), Picker: p,
		Workspace: &config.Workspace{Name: "w"}, Model: &config.Model{Name: "m", Weights: "w1"}, Prompt: &prompt.Prompt{},
		Snap: &snapshot.Snapshot{Config: &config.Config{
			Retry:  config.Retry{AttemptsMax: 3},
			Caller: config.CallerLimits{DeadlineMax: config.Duration(10 * time.Second)},
		}},
	}
}

// serve starts an upstream and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a data race on the attempts: the answer of the winner of a race
// breaks while the loser is still being given up.
func TestBrokenAnswerOfWinnerDoesNotReadTheLoser(t *testing.T) {
	for range 20 {
		begun := make(chan struct{})
		slow := serve(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-begun:
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusInternalServerError)
		})
		cut := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				return
			}
			w.Header().Set("Content-Length", "100")
			_, _ = fmt.Fprint(w, "{")
			w.(http.Flusher).Flush()
			close(begun)
			panic(http.ErrAbortHandler)
		})
		x := newExchange(t, listPicker{addresses: []string{slow, cut}, hedgeAfter: time.Millisecond})
		err := newFixture().Request(x)
		if r := refusal.From(err); err == nil || r.Effect != refusal.Unknown {
			t.Fatalf("error %v", err)
		}
	}
}

// Guards against repeats beyond the retry budget of a request that an engine ran with
// other weights than it was asked for.
func TestRunWithOtherWeightsIsChargedToTheBudget(t *testing.T) {
	var runs atomic.Int64
	engine := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(upstream.HeaderWeights, "w0")
		_, _ = fmt.Fprint(w, "{}")
	})
	f := newFixture()
	err := f.Request(newExchange(t, listPicker{addresses: []string{engine}}))
	if r := refusal.From(err); err == nil || r.Effect != refusal.Unknown {
		t.Errorf("error %v", err)
	}
	if repeats := runs.Load() - 1; repeats > f.retries.taken() {
		t.Errorf("%d repeats, %d taken from the budget", repeats, f.retries.taken())
	}
}

// An engine that proves that it refused a request for its weights is tried again
// without a charge, until it has them.
func TestRefusalForOtherWeightsIsNotCharged(t *testing.T) {
	var requests atomic.Int64
	engine := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) < 5 {
			w.Header().Set(upstream.HeaderEffect, "not-run")
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		_, _ = fmt.Fprint(w, "{}")
	})
	f := newFixture()
	if err := f.Request(newExchange(t, listPicker{addresses: []string{engine}})); err != nil || f.retries.taken() != 0 {
		t.Errorf("error %v, %d taken from the budget", err, f.retries.taken())
	}
}

// Guards against a budget that is used up by retries after the route's timeout, which
// can't be sent.
func TestNoRetryIsTakenAfterTheRoutesTimeout(t *testing.T) {
	stop := make(chan struct{})
	silent := func(http.ResponseWriter, *http.Request) { <-stop }
	services := []string{serve(t, silent), serve(t, silent), serve(t, silent)}
	t.Cleanup(func() { close(stop) })
	x := newExchange(t, listPicker{addresses: services})
	x.Route = &config.Route{Name: "r", Repeatable: true, Timeout: config.Duration(300 * time.Millisecond)}
	f := newFixture()
	err := f.Request(x)
	if r := refusal.From(err); err == nil || r.Effect != refusal.Unknown || f.retries.taken() != 0 {
		t.Errorf("error %v, %d taken from the budget", err, f.retries.taken())
	}
}

// Guards against a hedge that is charged although no upstream was left for it.
func TestHedgeWithoutUpstreamIsNotCharged(t *testing.T) {
	engine := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = fmt.Fprint(w, "{}")
	})
	f := newFixture()
	err := f.Request(newExchange(t, listPicker{addresses: []string{engine}, hedgeAfter: time.Millisecond}))
	if err != nil || f.hedges.taken() != 0 {
		t.Errorf("error %v, %d taken from the budget", err, f.hedges.taken())
	}
}

// Guards against a retry that is charged although no upstream was left for it.
func TestRetryWithoutUpstreamIsNotCharged(t *testing.T) {
	broken := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for name, route := range map[string]*config.Route{"model": nil, "call": {Name: "r", Repeatable: true}} {
		x := newExchange(t, listPicker{addresses: []string{broken}})
		x.Route = route
		f := newFixture()
		err := f.Request(x)
		if r := refusal.From(err); err == nil || r.Effect != refusal.Unknown || f.retries.taken() != 0 {
			t.Errorf("%s: error %v, %d taken from the budget", name, err, f.retries.taken())
		}
	}
}
