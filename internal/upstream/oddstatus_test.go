package upstream_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"currantpulley/internal/fake/spoiled"
	"currantpulley/internal/upstream"
)

// Guards against responses whose status has no meaning in HTTP: nothing that they say is
// believed, not that the request did not run either.
func TestStatusWithoutAMeaningIsNoResponse(t *testing.T) {
	service := upstream.NewService(upstream.NewTransport(), upstream.NewOnceTransport())
	for _, status := range []string{"000", "099", "600", "999"} {
		p := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
			_, err := io.WriteString(w, "HTTP/1.1 "+status+" x\r\nX-Request-Id: id-1\r\nX-Effect: not-run\r\nContent-Length: 4\r\n\r\ndone")
			return err == nil
		})
		expectMalformed := func(kind string, res *upstream.Response, err error) {
			t.Helper()
			if err == nil {
				res.Close()
			}
			if !errors.Is(err, upstream.ErrMalformed) || !upstream.Sent(err) {
				t.Errorf("%s, status %s: error %v, want one of a request that may have run", kind, status, err)
			}
		}
		res, err := newEngine().Open(t.Context(), p.Address, upstream.Request{ID: "id-1", Path: "/x"})
		expectMalformed("engine", res, err)
		res, err = service.Do(t.Context(), p.Address, upstream.ServiceRequest{ID: "id-1", Method: http.MethodPost, Path: "/x", Header: http.Header{}})
		expectMalformed("service", res, err)
	}
}
