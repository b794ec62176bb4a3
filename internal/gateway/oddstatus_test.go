package gateway_test

import (
	"io"
	"testing"
)

// Guards against responses that reach callers as answers although their status has no
// meaning in HTTP: an upstream in trouble wrote them.
func TestStatusWithoutAMeaningIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, path := range spoiledPaths {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				expectAtOnce(t, path, spoiledResponse{status, func(w io.Writer, id string) {
					_, _ = io.WriteString(w, "HTTP/1.1 "+status+" x\r\nId: "+id+"\r\nSigned: yes\r\nContent-Length: 4\r\n\r\ndone")
				}})
			})
		}
	}
}
