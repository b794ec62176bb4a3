// Package hop separates hop-by-hop header fields from end-to-end ones, which a
// proxy forwards.
package hop

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that apply to one connection only (RFC 9110, section
// 7.6.1) and those that are set anew in each forwarded request.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// EndToEnd returns a copy of h without its hop-by-hop fields, including those
// named in Connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
