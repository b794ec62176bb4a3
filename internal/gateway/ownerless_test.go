package gateway_test

import (
	"io"
	"net/http"
	"testing"

	"currantpulley/internal/fake/spoiled"
)

// Guards against a request without an id, to which every response without an id seems
// to belong: it was sent on, ran at each upstream, and was refused as not run.
func TestResponseWithoutAnIDProvesNothing(t *testing.T) {
	late := func(w io.Writer, _ *http.Request, number int) bool {
		if number == 2 {
			_, _ = io.WriteString(w, "HTTP/1.1 503 x\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n")
		}
		writeResponse(w, http.StatusOK, "", "done")
		return true
	}
	a, b := spoiled.NewPeer(t, late), spoiled.NewPeer(t, late)
	f := startRaw(t, a, b)
	for range 12 {
		before := a.Calls.Load() + b.Calls.Load()
		status := f.send(t, http.MethodPost, "/once/", "")
		runs := a.Calls.Load() + b.Calls.Load() - before
		if runs > 1 || runs > 0 && promises(status) {
			t.Errorf("a call without an id ran %d times and got status %d", runs, status)
		}
	}
}
