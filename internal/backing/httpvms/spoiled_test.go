package httpvms

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/spoiled"
)

const (
	spoiledTimeout = 200 * time.Millisecond // of a call whose response is spoiled
	readTime       = 3 * time.Second        // longer than it takes to write ten megabytes
	maxHead        = 64 << 10               // bytes that are read of a head
)

func list(ctx context.Context, p *spoiled.Peer) (believed bool) {
	_, err := New("http://"+p.Address, nil).List(ctx)
	return !errors.Is(err, backing.ErrUnavailable)
}

// Guards against reads of the list that hang, or take bytes that are no response for
// one.
func TestSpoiledResponses(t *testing.T) {
	spoiled.Check(t, spoiled.Responses("HTTP/1.1 200 OK\r\n"), spoiledTimeout, maxHead+maxResponse, list)
}

// Guards against a head of megabytes that is read and held for each call.
func TestHeadIsBounded(t *testing.T) {
	spoiled.Check(t, spoiled.Heads("HTTP/1.1 200 OK\r\n"), readTime, maxHead, list)
}

// Guards against a list without VMs that is seen in a response which says nothing of
// the kind.
func TestResponseThatIsNoList(t *testing.T) {
	for _, body := range []string{"", "null", "{}", "[]{}", `[{"name":"a","peer_address":"127.0.0.1:1"}`} {
		p := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool { spoiled.Write(w, http.StatusOK, body); return true })
		if list(t.Context(), p) {
			t.Errorf("%q was taken for a list", body)
		}
	}
}

// Guards against a list that is read from wherever a redirect points to.
func TestRedirectIsNotFollowed(t *testing.T) {
	other := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool { spoiled.Write(w, http.StatusOK, "[]"); return true })
	p := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
		spoiled.Write(w, http.StatusFound, "", "Location", "http://"+other.Address+"/vms")
		return true
	})
	if list(t.Context(), p) || other.Calls.Load() > 0 {
		t.Errorf("%d calls went elsewhere", other.Calls.Load())
	}
}

// Guards against a list that is cut at the limit and taken for a whole one.
func TestListOfTheLimit(t *testing.T) {
	for excess, want := range map[int]bool{0: true, 1: false} {
		p := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n[]"+strings.Repeat(" ", maxResponse-2+excess))
			return false
		})
		if got := list(t.Context(), p); got != want {
			t.Errorf("%d bytes beyond the limit: believed %t", excess, got)
		}
	}
}
