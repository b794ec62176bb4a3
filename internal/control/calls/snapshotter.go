package calls

import (
	"math/rand/v2"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
)

const (
	snapshotMinBytes       = 64 << 10 // of records after a snapshot before growth makes another one due
	snapshotMaxAge         = 15 * time.Minute
	boundsPeriod           = 2 * time.Second // between reads of the bounds, which show trimmed records
	clockRecordsPerHorizon = 20              // records per horizon that advance the clock of an incomplete stream
)

// snapshotter is the part of a stream that keeps snapshots of it in the log. A
// snapshot is due when the records since the last one are at least as large as
// that one, so that snapshots at most double the stream; when the last one was
// trimmed; and after snapshotMaxAge.
type snapshotter struct {
	chunks         []*callspb.SnapshotChunk // to be appended
	ownSnapshot    uint64                   // id of the snapshot that this daemon started last
	recordDue      bool                     // append a record even without entries, for its snapshot reference or its time
	lastChunk      *callspb.SnapshotChunk   // last chunk read of the snapshot being read
	chunksRead     uint32                   // of the snapshot being read
	chunkBytesRead int                      // size of the records with these chunks
	snapshotBytes  int                      // size of the latest snapshot
	bytesSince     int                      // size of the records after the latest snapshot
	snapshotAt     time.Time                // when the latest snapshot was started or read
	clockRecordAt  time.Time                // when a record was last requested to advance the clock
	firstOffset    uint64                   // first offset retained by the log at boundsAt; 0: not known
	boundsAt       time.Time                // when firstOffset was read
	boundsWanted   bool                     // read the bounds next
}

func (s *stream) resetSnapshotter(l *loadedState) {
	s.snapshotter = snapshotter{}
	if l.latest != nil {
		s.snapshotAt = l.machine.clock
	}
}

// trackSnapshot counts the chunks of a snapshot by any daemon and makes the
// snapshot the latest one once all were read in order.
func (s *stream) trackSnapshot(r backing.Record, b *callspb.Batch) {
	s.bytesSince += len(r.Data)
	c := b.Chunk
	if c == nil {
		return
	}
	if c.Index == 0 {
		s.chunksRead, s.chunkBytesRead = 0, 0
	}
	if c.Index != s.chunksRead || (s.lastChunk != nil && c.Index > 0 && s.lastChunk.Id != c.Id) {
		return
	}
	s.lastChunk = c
	s.chunksRead++
	s.chunkBytesRead += len(r.Data)
	if s.chunksRead == c.Count {
		s.latest = newerSnapshot(s.latest, &callspb.SnapshotRef{AsOf: c.AsOf, Last: r.Offset, Id: c.Id})
		s.bytesSince, s.snapshotBytes, s.snapshotAt = 0, s.chunkBytesRead, r.At
		s.recordDue = s.recordDue || c.Id == s.ownSnapshot
	}
}

// maintain is called periodically by the daemon that appends for the stream.
// It starts a snapshot when one is due. While the stream is incomplete, it
// requests records without entries, whose times advance the stream's clock.
func (s *stream) maintain(now time.Time, horizon time.Duration) {
	if s.machine == nil || s.haltErr != nil || s.readFailing || s.next <= 1 || s.snapshotRecordReady() {
		return
	}
	if !s.complete() {
		if now.Sub(s.clockRecordAt) > max(time.Second, horizon/clockRecordsPerHorizon) {
			s.recordDue, s.clockRecordAt = true, now
		}
		return
	}
	s.boundsWanted = now.Sub(s.boundsAt) >= boundsPeriod
	grown := s.bytesSince >= max(snapshotMinBytes, s.snapshotBytes)
	if !grown && !s.snapshotTrimmed(now) && now.Sub(s.snapshotAt) < snapshotMaxAge {
		return
	}
	s.snapshotAt = now
	s.ownSnapshot = rand.Uint64()
	s.chunks = s.machine.snapshot(s.ownSnapshot, s.next-1)
}

// snapshotTrimmed reports whether a new reader could not load the stream: the
// log has trimmed records that the latest snapshot does not cover.
func (s *stream) snapshotTrimmed(now time.Time) bool {
	if s.firstOffset <= 1 || now.Sub(s.snapshotAt) < boundsPeriod {
		return false
	}
	return s.latest == nil || s.latest.AsOf+1 < s.firstOffset
}

// snapshotRecordReady reports whether a record is to be appended even if no
// entries are queued.
func (s *stream) snapshotRecordReady() bool { return len(s.chunks) > 0 || s.recordDue }

// nextChunk returns the chunk for the next record, or nil.
func (s *stream) nextChunk() *callspb.SnapshotChunk {
	if len(s.chunks) == 0 {
		s.recordDue = false
		return nil
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c
}

// chunkFailed abandons the current snapshot if the failed append held one of
// its chunks.
func (s *stream) chunkFailed(op *appendOp) {
	if op.batch.Chunk != nil {
		s.chunks, s.recordDue = nil, false
	}
}

// estimateEntryBytes estimates the size of an entry in a record.
func estimateEntryBytes(e *callspb.Entry) int {
	const fixed = 128
	return fixed + len(e.GetOutcome().GetBody())
}
