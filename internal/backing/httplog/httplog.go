// Package httplog is the HTTP client of the platform's append-only log.
package httplog

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/backing/httpclient"
	"currantpulley/internal/failure"
	"currantpulley/internal/httpbody"
)

const (
	maxResponse = 64 << 20 // bytes of one response
	stepAppend  = "append to log"
	stepRead    = "read log"
	stepBounds  = "read bounds of log"
)

// Log implements backing.Log over HTTP.
type Log struct {
	base    string
	client  *http.Client // for calls that only read
	appends *http.Client // each connection carries one append
}

var _ backing.Log = (*Log)(nil)

// New returns a Log at the URL base, such as "http://10.0.0.1:9000". It uses a copy
// of client, see httpclient.New.
func New(base string, client *http.Client) *Log {
	return &Log{base: strings.TrimRight(base, "/"), client: httpclient.New(client), appends: httpclient.NewOnce(client)}
}

// url returns the URL of a stream, followed by the strings in more.
func (l *Log) url(stream string, more ...string) string {
	return l.base + "/log/" + url.PathEscape(stream) + strings.Join(more, "")
}

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := l.append(ctx, stream, data)
	return offset, failure.At(stepAppend, l.base, err)
}

func (l *Log) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	// The transport calls WroteHeaders when the complete request header is in its
	// buffer, before it writes any of the body. Until then the log can't have
	// appended the record.
	var wroteHeaders atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wroteHeaders.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, l.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	// Without GetBody the transport can't retry the request, which could append
	// the record twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := l.appends.Do(req)
	if err != nil && !wroteHeaders.Load() {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if rejected(resp.StatusCode) {
		return 0, fmt.Errorf("%w: status %s", backing.ErrUnavailable, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: status %s", backing.ErrUnknownOutcome, resp.Status)
	}
	var response struct {
		Offset uint64 `json:"offset"`
	}
	if err := decode(resp, &response, "offset"); err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, err)
	}
	if response.Offset == 0 {
		return 0, fmt.Errorf("%w: the response has no offset", backing.ErrUnknownOutcome)
	}
	return response.Offset, nil
}

// rejected reports whether an HTTP status means that the record was not appended:
// 4xx and 503.
func rejected(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]backing.Record, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var response struct {
		Records []struct {
			Offset uint64    `json:"offset"`
			At     time.Time `json:"at"`
			Data   []byte    `json:"data"`
		} `json:"records"`
	}
	if err := l.get(ctx, l.url(stream, "?", query.Encode()), &response, "records"); err != nil {
		return nil, failure.At(stepRead, l.base, err)
	}
	records := make([]backing.Record, 0, len(response.Records))
	for i, r := range response.Records {
		if r.Offset != from+uint64(i) {
			return nil, failure.Atf(stepRead, l.base, "%w: got offset %d instead of %d", backing.ErrUnavailable, r.Offset, from+uint64(i))
		}
		records = append(records, backing.Record{Offset: r.Offset, At: r.At, Data: r.Data})
	}
	return records, nil
}

// Bounds implements backing.Log.
func (l *Log) Bounds(ctx context.Context, stream string) (first, next uint64, err error) {
	var response struct {
		First uint64 `json:"first"`
		Next  uint64 `json:"next"`
	}
	if err := l.get(ctx, l.url(stream, "/bounds"), &response, "first", "next"); err != nil {
		return 0, 0, failure.At(stepBounds, l.base, err)
	}
	if response.First > response.Next {
		return 0, 0, failure.Atf(stepBounds, l.base, "%w: the first offset is %d, the next %d", backing.ErrUnavailable, response.First, response.Next)
	}
	return response.First, response.Next, nil
}

// get sends a GET request and decodes the JSON response into response. It must have all
// the required fields.
func (l *Log) get(ctx context.Context, address string, response any, required ...string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return backing.ErrTrimmed
	default:
		return fmt.Errorf("%w: status %s", backing.ErrUnavailable, resp.Status)
	}
	if err := decode(resp, response, required...); err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	return nil
}

// decode decodes the JSON body of resp into response.
func decode(resp *http.Response, response any, required ...string) error {
	data, err := httpbody.Read(resp, maxResponse)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if err := httpbody.DecodeObject(data, response, required...); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
