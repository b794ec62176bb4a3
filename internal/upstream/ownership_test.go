package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

// testTimeout bounds each request of a test.
const testTimeout = 10 * time.Second

// writeRaw writes a response without a body that names request id, unless it is
// empty, and has the given further header lines.
func writeRaw(w io.Writer, status int, id string, header string) {
	if id != "" {
		header = "X-Request-Id: " + id + "\r\n" + header
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, header)
}

// sender sends request id to an upstream in one of the ways of this package.
type sender func(ctx context.Context, address, id string) (*Response, error)

func senders() map[string]sender {
	engine := NewHTTPEngine(NewTransport())
	service := NewService(NewTransport(), NewOnceTransport())
	call := func(repeatable bool) sender {
		return func(ctx context.Context, address, id string) (*Response, error) {
			return service.Do(ctx, address, ServiceRequest{ID: id, Method: http.MethodPost, Path: "/p", Header: http.Header{}, Repeatable: repeatable})
		}
	}
	return map[string]sender{
		"repeatable call": call(true),
		"call once":       call(false),
		"open": func(ctx context.Context, address, id string) (*Response, error) {
			return engine.Open(ctx, address, Request{ID: id, Path: "/v1/completions"})
		},
		"resume": func(ctx context.Context, address, id string) (*Response, error) {
			return engine.Resume(ctx, address, id, 1)
		},
		"state": func(ctx context.Context, address, _ string) (*Response, error) {
			_, err := engine.State(ctx, address)
			return nil, err
		},
		"order": func(ctx context.Context, address, _ string) (*Response, error) {
			_, err := engine.Order(ctx, address, Order{})
			return nil, err
		},
		"cancel": func(ctx context.Context, address, id string) (*Response, error) {
			return nil, engine.Cancel(ctx, address, id)
		},
	}
}

// Guards against a status or a statement that is believed although its response
// belongs to another request, or names none where each response must.
func TestNothingOfAnotherRequestsResponseIsBelieved(t *testing.T) {
	for name, send := range senders() {
		owners := []string{"somebody-else"}
		if name == "open" || name == "resume" {
			owners = append(owners, "")
		}
		for _, owner := range owners {
			for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusPreconditionFailed, http.StatusServiceUnavailable} {
				u := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
					writeRaw(w, status, owner, "X-Effect: not-run\r\n")
					return true
				})
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				res, err := send(ctx, u.Address, "mine")
				cancel()
				if !errors.Is(err, ErrWrongRequestID) || !Sent(err) {
					t.Errorf("%s: status %d of %q gave %+v and error %v", name, status, owner, res, err)
				}
			}
		}
	}
}

// Guards against a statement that is believed although nothing says whose response it
// is in, and against refusing the responses of plain services that name no request.
func TestResponseThatNamesNoRequestIsNoProof(t *testing.T) {
	for _, name := range []string{"repeatable call", "call once"} {
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable} {
			u := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
				writeRaw(w, status, "", "X-Effect: not-run\r\n")
				return true
			})
			res, err := senders()[name](t.Context(), u.Address, "mine")
			if err != nil || res.Status != status || res.NotRun {
				t.Errorf("%s: status %d without an id gave %+v and error %v", name, status, res, err)
			}
			if err == nil {
				res.Close()
			}
		}
	}
}

// Guards against the responses of one connection being taken for those of the
// requests before, one after the other, once an extra response came.
func TestConnectionWithAnotherRequestsResponseIsNotUsedAgain(t *testing.T) {
	for _, name := range []string{"repeatable call", "open"} {
		send := senders()[name]
		u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, number int) bool {
			id := r.Header.Get("X-Request-Id")
			if number > 1 {
				id = "the-one-before"
			}
			writeRaw(w, http.StatusOK, id, "")
			return true
		})
		var failed []bool
		for i := range 4 {
			res, err := send(t.Context(), u.Address, fmt.Sprint("call-", i))
			failed = append(failed, err != nil)
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Close()
			}
		}
		if want := []bool{false, true, false, true}; fmt.Sprint(failed) != fmt.Sprint(want) || u.Conns.Load() != 2 {
			t.Errorf("%s: failed %v over %d connections, want %v over 2", name, failed, u.Conns.Load(), want)
		}
	}
}

// Guards against statements that contradict themselves being taken for a proof that
// a request did not run.
func TestContradictoryNotRunIsNoProof(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header string
		notRun bool
	}{
		"refusal":           {http.StatusServiceUnavailable, "X-Effect: not-run\r\n", true},
		"success":           {http.StatusOK, "X-Effect: not-run\r\n", false},
		"two statements":    {http.StatusServiceUnavailable, "X-Effect: not-run\r\nX-Effect: unknown\r\n", false},
		"without statement": {http.StatusServiceUnavailable, "", false},
	} {
		u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
			writeRaw(w, c.status, r.Header.Get("X-Request-Id"), c.header)
			return true
		})
		for _, sender := range []string{"repeatable call", "call once", "open"} {
			res, err := senders()[sender](t.Context(), u.Address, "mine")
			if err != nil {
				t.Fatal(err)
			}
			res.Close()
			if res.NotRun != c.notRun {
				t.Errorf("%s, %s: NotRun is %v", name, sender, res.NotRun)
			}
		}
	}
}

// Guards against requests that net/http sends again, unseen by the retry budget and by
// calls that run at most once, when a kept connection closes after they were written.
func TestNoRequestIsSentTwiceByTheTransport(t *testing.T) {
	engine := NewHTTPEngine(NewTransport())
	service := NewService(NewTransport(), NewOnceTransport())
	call := func(repeatable bool, method, key, body string) sender {
		return func(ctx context.Context, address, id string) (*Response, error) {
			r := ServiceRequest{ID: id, Method: method, Path: "/p", Header: http.Header{}, Body: []byte(body), Repeatable: repeatable}
			if key != "" {
				r.Header.Set(key, "1")
			}
			return service.Do(ctx, address, r)
		}
	}
	for name, send := range map[string]sender{
		"GET":                      call(true, http.MethodGet, "", ""),
		"OPTIONS":                  call(true, http.MethodOptions, "", ""),
		"POST, key":                call(true, http.MethodPost, "Idempotency-Key", ""),
		"POST, key and body":       call(true, http.MethodPost, "Idempotency-Key", "{}"),
		"POST, other key and body": call(true, http.MethodPost, "X-Idempotency-Key", "{}"),
		"once, GET":                call(false, http.MethodGet, "", ""),
		"once, POST, key and body": call(false, http.MethodPost, "Idempotency-Key", "{}"),
		"once, POST, other key":    call(false, http.MethodPost, "X-Idempotency-Key", ""),
		"open": func(ctx context.Context, address, id string) (*Response, error) {
			return engine.Open(ctx, address, Request{ID: id, Path: "/v1/completions", Body: []byte("{}")})
		},
		"resume": func(ctx context.Context, address, id string) (*Response, error) {
			return engine.Resume(ctx, address, id, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, number int) bool {
				if r.Header.Get("X-Request-Id") != "first" {
					return false
				}
				writeRaw(w, http.StatusOK, "first", "")
				return number == 1
			})
			res, err := send(t.Context(), u.Address, "first")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			res.Close()
			_, err = send(t.Context(), u.Address, "second")
			if err == nil || !Sent(err) || u.Calls.Load() != 2 {
				t.Errorf("error %v after %d requests, want 2", err, u.Calls.Load())
			}
		})
	}
}
