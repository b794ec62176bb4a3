// Package httplog reaches the platform's append-only log over HTTP.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/failure"
)

const (
	maxAnswer  = 64 << 20 // bytes of one answer
	stepAppend = "append to log"
	stepRead   = "read log"
	stepBounds = "read bounds of log"
)

// Log is a backing.Log over HTTP.
type Log struct {
	base   string
	client *http.Client
}

var _ backing.Log = (*Log)(nil)

// New returns a Log at base, such as "http://10.0.0.1:9000". A nil client
// means a client of its own. Redirects are never followed.
func New(base string, client *http.Client) *Log {
	own := http.Client{}
	if client != nil {
		own = *client
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Log{base: strings.TrimRight(base, "/"), client: &own}
}

func (l *Log) url(stream string, more ...string) string {
	return l.base + "/log/" + url.PathEscape(stream) + strings.Join(more, "")
}

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := l.append(ctx, stream, data)
	return offset, failure.At(stepAppend, l.base, err)
}

func (l *Log) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	// The transport calls WroteHeaders once the whole head is in its buffer,
	// before any of the body: until then the log can't have taken the record.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, l.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	// Without GetBody the transport never sends the record a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := l.client.Do(req)
	if err != nil && !sent.Load() {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, err)
	}
	defer closeBody(resp)
	if refused(resp.StatusCode) {
		return 0, fmt.Errorf("%w: status %s", backing.ErrUnavailable, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: status %s", backing.ErrUnknownOutcome, resp.Status)
	}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := decode(resp.Body, &answer); err != nil {
		return 0, fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, err)
	}
	if answer.Offset == 0 {
		return 0, fmt.Errorf("%w: the answer has no offset", backing.ErrUnknownOutcome)
	}
	return answer.Offset, nil
}

// refused reports whether status states that the record was not appended.
func refused(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]backing.Record, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer struct {
		Records []struct {
			Offset uint64    `json:"offset"`
			At     time.Time `json:"at"`
			Data   []byte    `json:"data"`
		} `json:"records"`
	}
	if err := l.get(ctx, l.url(stream, "?", query.Encode()), &answer); err != nil {
		return nil, failure.At(stepRead, l.base, err)
	}
	records := make([]backing.Record, 0, len(answer.Records))
	for i, r := range answer.Records {
		if r.Offset != from+uint64(i) {
			return nil, failure.Atf(stepRead, l.base, "%w: offset %d where %d was due", backing.ErrUnavailable, r.Offset, from+uint64(i))
		}
		records = append(records, backing.Record{Offset: r.Offset, At: r.At, Data: r.Data})
	}
	return records, nil
}

// Bounds implements backing.Log.
func (l *Log) Bounds(ctx context.Context, stream string) (first, next uint64, err error) {
	var answer struct {
		First uint64 `json:"first"`
		Next  uint64 `json:"next"`
	}
	if err := l.get(ctx, l.url(stream, "/bounds"), &answer); err != nil {
		return 0, 0, failure.At(stepBounds, l.base, err)
	}
	return answer.First, answer.Next, nil
}

func (l *Log) get(ctx context.Context, address string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return backing.ErrTrimmed
	default:
		return fmt.Errorf("%w: status %s", backing.ErrUnavailable, resp.Status)
	}
	if err := decode(resp.Body, answer); err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	return nil
}

func decode(r io.Reader, answer any) error {
	if err := json.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// closeBody drains what is left so that the connection can be used again.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	_ = resp.Body.Close()
}
