package server

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"currantpulley/internal/refusal"
)

// lineEnd ends each line of a head, and two of them end the head.
var lineEnd = []byte("\r\n")

// methods lists the methods that nbhttp's parser accepts, in the case in which
// callers must write them. The parser reads others in upper case.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodConnect, http.MethodOptions, http.MethodTrace,
}

// head is the head of a request that all parsers read in the same way.
type head struct {
	bytes     []byte // for nbhttp's parser, which gets no body
	length    int64  // of the body; -1: chunked
	continues bool   // the caller waits for a 100 response before it sends the body
}

// malformed returns the refusal of a request that is not proper HTTP/1.
func malformed(reason string) *refusal.Error {
	return refusal.New(refusal.BadRequest, "the request is malformed: %s", reason)
}

// parseHead checks the head of a request. It accepts only what leaves no doubt about
// where the request ends and about its method, target and header fields, so that
// nbhttp's parser and the upstream find the same request.
func parseHead(raw []byte) (*head, *refusal.Error) {
	f, bad := parseFields(raw)
	if bad != nil {
		return nil, bad
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, malformed("its request line or a header field")
	}
	isHTTP10 := r.Proto == "HTTP/1.0"
	switch {
	case !isHTTP10 && r.Proto != "HTTP/1.1":
		return nil, malformed("its version")
	case !slices.Contains(methods, r.Method):
		return nil, malformed("its method")
	case r.RequestURI[0] != '/' && r.RequestURI != "*", r.URL.RequestURI() != r.RequestURI:
		return nil, malformed("its target")
	case f.hosts > 1, !httpguts.ValidHostHeader(r.Host):
		return nil, malformed("its host")
	case f.lengths+f.codings > 1, f.codings > 0 && isHTTP10:
		return nil, malformed("its length is ambiguous")
	}
	return &head{
		bytes:     f.withoutBody,
		length:    r.ContentLength,
		continues: !isHTTP10 && r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}, nil
}

// fields counts the header fields that decide about a request's framing and host.
type fields struct {
	hosts, lengths, codings int
	withoutBody             []byte // the head without the fields that announce a body or a trailer
}

// parseFields checks the lines of a head. A field must begin with a name right
// before a colon and end with its line.
func parseFields(raw []byte) (*fields, *refusal.Error) {
	f := &fields{withoutBody: make([]byte, 0, len(raw))}
	lines := bytes.TrimSuffix(raw, endOfHead)
	requestLine, lines, _ := bytes.Cut(lines, lineEnd)
	if bytes.ContainsAny(requestLine, "\r\n\t") {
		return nil, malformed("its request line")
	}
	f.keep(requestLine)
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
			return nil, malformed("a header field")
		}
		if !f.count(string(name)) {
			f.keep(line)
		}
	}
	f.withoutBody = append(f.withoutBody, lineEnd...)
	return f, nil
}

// count counts one field and reports whether it announces a body or a trailer: nbhttp's
// parser would wait for the body, which conn reads, or for the trailer.
func (f *fields) count(name string) (announces bool) {
	switch http.CanonicalHeaderKey(name) {
	case "Host":
		f.hosts++
		return false
	case "Content-Length":
		f.lengths++
	case "Transfer-Encoding":
		f.codings++
	case "Trailer":
	default:
		return false
	}
	return true
}

// keep adds a line to the head that nbhttp's parser gets.
func (f *fields) keep(line []byte) {
	f.withoutBody = append(f.withoutBody, line...)
	f.withoutBody = append(f.withoutBody, lineEnd...)
}
