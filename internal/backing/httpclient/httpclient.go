// Package httpclient provides the HTTP client of the adapters of the platform's
// services.
package httpclient

import "net/http"

// maxHeaderBytes is the number of bytes of a response's header that are read at most.
const maxHeaderBytes = 64 << 10

// New returns a copy of base that follows no redirects, which could send a call twice
// or to another server. A nil base means a new client. If base has no transport, the
// copy gets one of its own that bounds the header of responses.
func New(base *http.Client) *http.Client {
	own := http.Client{}
	if base != nil {
		own = *base
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	if own.Transport == nil {
		own.Transport = newTransport()
	}
	return &own
}

// NewOnce is New for calls whose responses don't tell to which call they belong: each has
// a connection of its own, so that no late response to another is taken for its own.
func NewOnce(base *http.Client) *http.Client {
	own := New(base)
	if t, ok := own.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		own.Transport = t
	}
	return own
}

func newTransport() http.RoundTripper {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport // replaced by the program
	}
	t = t.Clone()
	t.MaxResponseHeaderBytes = maxHeaderBytes
	t.DisableCompression = true
	return t
}
