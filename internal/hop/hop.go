// Package hop tells header fields that concern one connection from those that
// pass a router.
package hop

import (
	"net/http"
	"strings"
)

// fields concern one connection only (RFC 9110, section 7.6.1), or are set by
// whoever writes the next request.
var fields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// EndToEnd returns the fields of h that pass a router.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range fields {
		out.Del(name)
	}
	return out
}
