package httpbody_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"currantpulley/internal/httpbody"
)

// response returns a response with a body of unknown length.
func response(status int, body io.Reader, header ...string) *http.Response {
	r := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// endless never ends.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against a body that is cut at the limit and taken for a whole one.
func TestBodyIsReadInFullOrNotAtAll(t *testing.T) {
	const limit = 8
	for _, size := range []int{0, limit - 1, limit} {
		data, err := httpbody.Read(response(http.StatusOK, strings.NewReader(strings.Repeat("x", size))), limit)
		if err != nil || len(data) != size {
			t.Errorf("%d of %d bytes, %v", len(data), size, err)
		}
	}
	body := &endless{}
	if data, err := httpbody.Read(response(http.StatusOK, body), limit); !errors.Is(err, httpbody.ErrTooLong) || data != nil || body.read > 1<<10 {
		t.Errorf("%q, %v, %d bytes were read", data, err, body.read)
	}
	announced := response(http.StatusOK, body)
	announced.ContentLength = limit + 1
	before := body.read
	if _, err := httpbody.Read(announced, limit); !errors.Is(err, httpbody.ErrTooLong) || body.read != before {
		t.Errorf("%v, %d bytes were read", err, body.read-before)
	}
}

// Guards against a wait for the end of a connection that left HTTP.
func TestSwitchOfProtocolIsNotRead(t *testing.T) {
	body := &endless{}
	if _, err := httpbody.Read(response(http.StatusSwitchingProtocols, body), 1); !errors.Is(err, httpbody.ErrSwitched) || body.read > 0 {
		t.Errorf("%v, %d bytes were read", err, body.read)
	}
}

// Guards against a body that is read as if it were not encoded.
func TestEncodedBodyIsNoBody(t *testing.T) {
	res := response(http.StatusOK, strings.NewReader("{}"), "Content-Encoding", "gzip")
	if _, err := httpbody.Read(res, 8); !errors.Is(err, httpbody.ErrEncoded) {
		t.Errorf("%v", err)
	}
}

func TestReadJSON(t *testing.T) {
	for _, tc := range []struct {
		contentType, body string
		ok                bool
	}{
		{"application/json", `{"a":1}`, true},
		{"application/json; charset=utf-8", `{"a":1}`, true},
		{"text/plain", `{"a":1}`, false},
		{"", `{"a":1}`, false},
		{"application/json", `{"a":1`, false},
		{"application/json", `{"a":1}{`, false},
		{"application/json", ``, false},
	} {
		var out struct{ A int }
		err := httpbody.ReadJSON(response(http.StatusOK, bytes.NewReader([]byte(tc.body)), "Content-Type", tc.contentType), 64, &out)
		if (err == nil) != tc.ok || !tc.ok && !errors.Is(err, httpbody.ErrNotJSON) || tc.ok && out.A != 1 {
			t.Errorf("%s as %q: %+v, %v", tc.body, tc.contentType, out, err)
		}
	}
}
