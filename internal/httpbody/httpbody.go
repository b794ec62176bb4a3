// Package httpbody reads the bodies of responses of servers that may be at fault.
package httpbody

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
)

// Errors of this package, for use with errors.Is.
var (
	// ErrTooLong: the body is longer than the limit.
	ErrTooLong = errors.New("the body is longer than the limit")
	// ErrSwitched: the server left HTTP with status 101. Such a body ends only with the
	// connection, and no deadline applies to it.
	ErrSwitched = errors.New("the server switched to another protocol")
	// ErrEncoded: the body has a content encoding, which was not asked for.
	ErrEncoded = errors.New("the body has a content encoding that was not asked for")
	// ErrNotJSON: the body is not JSON, or not that of the expected call.
	ErrNotJSON = errors.New("the body is not the expected JSON")
)

const mediaTypeJSON = "application/json"

// Read returns the body of res, which is at most limit bytes long, and closes it. The
// connection is closed too unless the whole body was read.
func Read(res *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusSwitchingProtocols {
		return nil, ErrSwitched
	}
	if encoding := res.Header.Get("Content-Encoding"); encoding != "" {
		return nil, fmt.Errorf("%w: %.20q", ErrEncoded, encoding)
	}
	if res.ContentLength > limit {
		return nil, fmt.Errorf("%w: %d of at most %d bytes", ErrTooLong, res.ContentLength, limit)
	}
	return readAll(res.Body, limit)
}

// readAll returns all of r, which is at most limit bytes long.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: at most %d bytes", ErrTooLong, limit)
	}
	return data, nil
}

// ReadJSON is Read for a body that must be declared to be JSON, which it decodes into
// out.
func ReadJSON(res *http.Response, limit int64, out any) error {
	data, err := Read(res, limit)
	if err != nil {
		return err
	}
	declared := res.Header.Get("Content-Type")
	if media, _, err := mime.ParseMediaType(declared); err != nil || media != mediaTypeJSON {
		return fmt.Errorf("%w: content type %.40q", ErrNotJSON, declared)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNotJSON, err)
	}
	return nil
}

// DecodeObject decodes the JSON object in data into out. The object must have all the
// required fields, by which it is told from the response to another call.
func DecodeObject(data []byte, out any, required ...string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("%w: %w", ErrNotJSON, err)
	}
	for _, name := range required {
		if _, ok := fields[name]; !ok {
			return fmt.Errorf("%w: field %q is missing", ErrNotJSON, name)
		}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNotJSON, err)
	}
	return nil
}
