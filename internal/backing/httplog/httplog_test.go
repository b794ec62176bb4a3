package httplog

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/fakelog"
)

// serve returns a Log that talks to a test server with the handler h.
func serve(t *testing.T, h http.Handler) *Log {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.URL, s.Client())
}

// respondWith returns a handler with a fixed response.
func respondWith(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		w.Write([]byte(body))
	})
}

// reset is a handler that resets the connection.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// An append that certainly had no effect must fail with ErrUnavailable, one that
// may have had an effect with ErrUnknownOutcome. Mixing them up would lose or
// repeat records.
func TestAppendTellsUnavailableFromUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.Handler
		want    error
	}{
		"refused by rate":     {respondWith(429, ""), backing.ErrUnavailable},
		"refused by outage":   {respondWith(503, ""), backing.ErrUnavailable},
		"refused as invalid":  {respondWith(413, ""), backing.ErrUnavailable},
		"reset after sending": {http.HandlerFunc(reset), backing.ErrUnknownOutcome},
		"server error":        {respondWith(500, ""), backing.ErrUnknownOutcome},
		"gateway timeout":     {respondWith(504, ""), backing.ErrUnknownOutcome},
		"redirected":          {respondWith(307, ""), backing.ErrUnknownOutcome},
		"malformed response":  {respondWith(200, `{"offset":`), backing.ErrUnknownOutcome},
		"no offset":           {respondWith(200, `{}`), backing.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, c.handler).Append(context.Background(), "s", []byte("x"))
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if errors.Is(err, backing.ErrUnavailable) && errors.Is(err, backing.ErrUnknownOutcome) {
				t.Fatalf("%v is both ErrUnavailable and ErrUnknownOutcome", err)
			}
		})
	}
}

func TestAppendToClosedPortIsUnavailable(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(reset))
	s.Close()
	if _, err := New(s.URL, nil).Append(context.Background(), "s", nil); !errors.Is(err, backing.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// The log may append the record even if the caller no longer waits for the reply.
func TestCancelledAppendIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	if _, err := l.Append(ctx, "s", nil); !errors.Is(err, backing.ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
}

func TestReadAndBounds(t *testing.T) {
	ctx := context.Background()
	fake := fakelog.New()
	l := serve(t, fake)
	for i := uint64(1); i <= 3; i++ {
		if offset, err := l.Append(ctx, "a/b", []byte{byte(i)}); err != nil || offset != i {
			t.Fatalf("append %d: %d, %v", i, offset, err)
		}
	}
	records, err := l.Read(ctx, "a/b", 2, 1, 0)
	if err != nil || len(records) != 1 || records[0].Offset != 2 || records[0].Data[0] != 2 || records[0].At.IsZero() {
		t.Fatalf("read: %v, %v", records, err)
	}
	fake.SetFaults(fakelog.Faults{Retain: 1})
	if first, next, err := l.Bounds(ctx, "a/b"); err != nil || first != 3 || next != 4 {
		t.Fatalf("bounds: %d, %d, %v", first, next, err)
	}
	if _, err := l.Read(ctx, "a/b", 2, 1, 0); !errors.Is(err, backing.ErrTrimmed) {
		t.Fatalf("read of a trimmed offset: %v", err)
	}
	if records, err := l.Read(ctx, "a/b", 4, 9, time.Millisecond); err != nil || len(records) != 0 {
		t.Fatalf("read at the end: %v, %v", records, err)
	}
	fake.SetFaults(fakelog.Faults{Outage: true})
	if _, err := l.Read(ctx, "a/b", 3, 1, 0); !errors.Is(err, backing.ErrUnavailable) {
		t.Fatalf("read in an outage: %v", err)
	}
}

// Read must return a record that is appended while it waits.
func TestReadWaitsForAnAppend(t *testing.T) {
	ctx := context.Background()
	l := serve(t, fakelog.New())
	read := make(chan []backing.Record)
	go func() {
		records, _ := l.Read(ctx, "s", 1, 1, time.Minute)
		read <- records
	}()
	if _, err := l.Append(ctx, "s", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if records := <-read; len(records) != 1 || string(records[0].Data) != "x" {
		t.Fatalf("got %v", records)
	}
}

// A lost reply must give ErrUnknownOutcome whether or not the record was appended.
func TestLostRepliesBeforeAndAfterEffect(t *testing.T) {
	ctx := context.Background()
	fake := fakelog.New()
	l := serve(t, fake)
	for i, faults := range []fakelog.Faults{{AbortBefore: 1}, {AbortAfter: 1}} {
		fake.SetFaults(faults)
		if _, err := l.Append(ctx, "s", nil); !errors.Is(err, backing.ErrUnknownOutcome) {
			t.Fatalf("%+v: %v", faults, err)
		}
		if _, next, _ := l.Bounds(ctx, "s"); next != uint64(1+i) {
			t.Fatalf("%+v: next offset is %d", faults, next)
		}
	}
}

// A response whose first offset is not the requested one must not be accepted, else
// records would be skipped.
func TestUnexpectedOffsetIsAnError(t *testing.T) {
	l := serve(t, respondWith(200, `{"records":[{"offset":7}]}`))
	if _, err := l.Read(context.Background(), "s", 1, 9, 0); !errors.Is(err, backing.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}
