package calls

import (
	"context"
	"fmt"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/failure"
	"currantpulley/internal/logrecord"
)

const (
	tailRecords = 16  // last records, in which a snapshot reference is searched for
	readLimit   = 512 // records per read
)

// loadedState is the state from which a new reader of a stream starts.
type loadedState struct {
	machine    *machine
	next       uint64               // offset of the first record that is not applied
	latest     *callspb.SnapshotRef // nil: none
	completeAt time.Time            // stream time from which no trimmed record matters; zero: none was missed
}

// load reads the state from which a new reader of a stream starts: the latest
// snapshot, or else an empty state at the first retained record. Records that
// were trimmed without a snapshot matter until horizon after the time of that
// first record. Errors include backing.ErrUnavailable, backing.ErrTrimmed and
// logrecord.ErrBad.
func load(ctx context.Context, log backing.Log, stream string, now time.Time, horizon time.Duration) (*loadedState, error) {
	first, next, err := log.Bounds(ctx, stream)
	if err != nil {
		return nil, failure.At("read bounds of a stream of calls", stream, err)
	}
	ref, err := latestSnapshot(ctx, log, stream, first, next)
	if err != nil {
		return nil, err
	}
	if ref != nil && ref.AsOf+1 >= first {
		return loadSnapshot(ctx, log, stream, ref)
	}
	l := &loadedState{machine: newMachine(), next: first}
	if first == 1 {
		return l, nil
	}
	l.completeAt = now.Add(horizon)
	records, err := log.Read(ctx, stream, first, 1, 0)
	if err != nil {
		return nil, failure.At("read first record of a stream of calls", stream, err)
	}
	if len(records) > 0 {
		l.completeAt = records[0].At.Add(horizon)
	}
	return l, nil
}

// latestSnapshot returns the newest snapshot reference in the last tailRecords
// records, or nil.
func latestSnapshot(ctx context.Context, log backing.Log, stream string, first, next uint64) (*callspb.SnapshotRef, error) {
	from := first
	if next > first+tailRecords {
		from = next - tailRecords
	}
	if from >= next {
		return nil, nil
	}
	records, err := log.Read(ctx, stream, from, tailRecords, 0)
	if err != nil {
		return nil, failure.At("read last records of a stream of calls", stream, err)
	}
	var ref *callspb.SnapshotRef
	for _, r := range records {
		b, err := decode(r.Data)
		if err != nil {
			return nil, failure.At("read last records of a stream of calls", stream, err)
		}
		ref = newerSnapshot(ref, b.Latest)
	}
	return ref, nil
}

// newerSnapshot returns the newer of two references, either of which may be
// nil.
func newerSnapshot(a, b *callspb.SnapshotRef) *callspb.SnapshotRef {
	if a == nil || (b != nil && b.Last > a.Last) {
		return b
	}
	return a
}

// loadSnapshot restores a snapshot from its chunks. The entries of the records
// after AsOf, which include those between the chunks, are left to the reader.
func loadSnapshot(ctx context.Context, log backing.Log, stream string, ref *callspb.SnapshotRef) (*loadedState, error) {
	l := &loadedState{machine: newMachine(), next: ref.AsOf + 1, latest: ref}
	found, count := 0, -1
	for at := l.next; at <= ref.Last; {
		records, err := log.Read(ctx, stream, at, readLimit, 0)
		if err != nil {
			return nil, failure.At("read snapshot of a stream of calls", stream, err)
		}
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			b, err := decode(r.Data)
			if err != nil {
				return nil, failure.At("read snapshot of a stream of calls", stream, err)
			}
			if b.Chunk != nil && b.Chunk.Id == ref.Id {
				l.machine.restore(b.Chunk)
				found++
				count = int(b.Chunk.Count)
			}
			at = r.Offset + 1
		}
	}
	if found != count {
		return nil, fmt.Errorf("snapshot of stream %s has %d of %d chunks: %w", stream, found, count, logrecord.ErrBad)
	}
	return l, nil
}
