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
	tailRecords = 16  // looked through for a reference to a snapshot
	readLimit   = 512 // records a read
)

// loadedState is a stream's state up to an offset, read from the log.
type loadedState struct {
	machine    *machine
	next       uint64               // first offset that is not applied
	latest     *callspb.SnapshotRef // nil: none
	completeAt time.Time            // stream time from which nothing that was trimmed still counts
}

// load finds where a new reader of a stream may start: at the latest
// snapshot, else at the first record. Records that were trimmed without a
// snapshot count until horizon after the first one that is left.
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

// latestSnapshot looks for a reference to a snapshot in the last records.
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

func newerSnapshot(a, b *callspb.SnapshotRef) *callspb.SnapshotRef {
	if a == nil || (b != nil && b.Last > a.Last) {
		return b
	}
	return a
}

// loadSnapshot collects the chunks of a snapshot. The records between its
// offset and its last chunk are applied by the reader afterwards.
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
