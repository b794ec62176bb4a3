package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	ID         string
	Method     string
	Path       string      // escaped
	Query      string      // without the question mark
	Header     http.Header // end-to-end fields only
	Body       []byte
	Repeatable bool // may run more than once
}

// Service sends requests to plain services.
type Service struct {
	repeatable http.RoundTripper
	once       http.RoundTripper
}

// NewService returns a Service with one transport for repeatable requests and
// one for requests that run at most once.
func NewService(repeatable, once http.RoundTripper) *Service {
	return &Service{repeatable: repeatable, once: once}
}

// Do sends r to address. Call Sent on its error to learn whether a byte of the
// request may have been sent.
func (s *Service) Do(ctx context.Context, address string, r ServiceRequest) (*Response, error) {
	u := "http://" + address + r.Path
	if r.Query != "" {
		u += "?" + r.Query
	}
	var body io.Reader = http.NoBody
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, body)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	req.Header = r.Header.Clone()
	transport := s.repeatable
	if !r.Repeatable {
		transport = s.once
	}
	return send(transport, req, r.ID, maybeUnnamed)
}
