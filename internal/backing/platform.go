// Package backing defines the interfaces of the backing services that the
// platform provides: the append-only log and the list of VMs.
package backing

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services. They are wrapped; test for them with
// errors.Is.
var (
	// ErrUnavailable means that the service could not be reached or refused the
	// call. An append that fails with it had no effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome means that an append was sent but its reply was lost. The
	// record may or may not be in the log.
	ErrUnknownOutcome = errors.New("outcome of the append is unknown")
	// ErrTrimmed means that the log has deleted the record at the offset because
	// of its retention.
	ErrTrimmed = errors.New("offset is older than the log's retention")
)

// Record is one entry of a stream. The offsets of a stream start at 1 and increase
// by one per record.
type Record struct {
	Offset uint64
	At     time.Time // time of the append by the log's clock
	Data   []byte
}

// Log is the platform's append-only log. It holds named streams of records.
type Log interface {
	// Append appends data to stream as one record and returns its offset.
	// Errors: ErrUnavailable, ErrUnknownOutcome.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records of stream, oldest first, beginning at the
	// offset from. If there is none yet, it waits up to wait for the first one; if
	// none is appended in that time, it returns no records and no error.
	// Errors: ErrUnavailable, ErrTrimmed.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the offset of the first retained record of stream and the
	// offset that the next appended record will get.
	// Errors: ErrUnavailable.
	Bounds(ctx context.Context, stream string) (first, next uint64, err error)
}

// ListedVM is one entry of the platform's VM list. The list may be out of date.
type ListedVM struct {
	Name        string `json:"name"`
	PeerAddress string `json:"peer_address"` // host:port of the peer protocol
	DataCentre  string `json:"data_centre"`
	Leaving     bool   `json:"leaving"` // about to be shut down
}

// VMList is the platform's list of the VMs on which the system's daemons run.
type VMList interface {
	// List returns the listed VMs. Errors: ErrUnavailable.
	List(ctx context.Context) ([]ListedVM, error)
}

// Streams of the log that the system uses. Candidate configurations and the
// verdicts on them share one stream, so that there is a total order of both.
const (
	StreamConfig = "configuration"
	StreamLeases = "leases"
	StreamCalls  = "calls-" // prefix, followed by the number of the stream of calls
)
