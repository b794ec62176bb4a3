// Package backing holds the interfaces of what the platform gives: the
// append-only log, the list of VMs and the weight store.
package backing

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services, tested with errors.Is.
var (
	// ErrUnavailable: the service could not be reached or refused the call.
	// An append that failed so did not take effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome: an append was sent but its reply was lost. The record
	// may or may not stand in the log.
	ErrUnknownOutcome = errors.New("outcome of the append is unknown")
	// ErrTrimmed: the offset is older than the log's retention.
	ErrTrimmed = errors.New("offset is older than the log's retention")
)

// Record is one entry of a stream. Offsets of a stream start at 1 and grow by
// one a record.
type Record struct {
	Offset uint64
	At     time.Time // the log's clock at the append
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds data to stream and returns its offset.
	// Errors: ErrUnavailable, ErrUnknownOutcome.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from offset on, oldest first. It waits
	// up to wait for the first one and returns none when the time is over.
	// Errors: ErrUnavailable, ErrTrimmed.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the first retained and the next free offset of stream.
	// Errors: ErrUnavailable.
	Bounds(ctx context.Context, stream string) (first, next uint64, err error)
}

// ListedVM is one entry of the platform's VM list, which lags.
type ListedVM struct {
	Name        string `json:"name"`
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Leaving     bool   `json:"leaving"`
}

// VMList is the platform's list of the system's own VMs.
type VMList interface {
	// List returns the VMs that the platform knows. Errors: ErrUnavailable.
	List(ctx context.Context) ([]ListedVM, error)
}

// Streams of the log that the system uses. Candidates and verdicts share one
// stream, so that one order holds for both.
const (
	StreamConfig = "configuration"
	StreamLeases = "leases"
	StreamCalls  = "calls-" // followed by the stream's number
)
