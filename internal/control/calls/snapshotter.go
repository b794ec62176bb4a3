package calls

import (
	"math/rand/v2"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
)

const (
	snapshotMinBytes       = 64 << 10 // of records between two snapshots
	snapshotMaxAge         = 15 * time.Minute
	boundsPeriod           = 2 * time.Second // looks for trimmed records
	clockRecordsPerHorizon = 20              // records that move the clock of an incomplete stream through one horizon
)

// snapshotter is a stream's part that keeps snapshots in the log. A snapshot is
// due when as many bytes were appended as the last one took, so it at most
// doubles the stream, when the last one was trimmed, or after snapshotMaxAge.
type snapshotter struct {
	chunks         []*callspb.SnapshotChunk // to be appended
	ownSnapshot    uint64                   // snapshot that this daemon appended last
	recordDue      bool                     // append a record for its reference or its time
	lastChunk      *callspb.SnapshotChunk   // last chunk of the snapshot being read
	chunksRead     uint32
	chunkBytesRead int
	snapshotBytes  int // of the latest snapshot
	bytesSince     int // of records since
	snapshotAt     time.Time
	clockRecordAt  time.Time
	firstOffset    uint64 // offset that the log still had at boundsAt; 0: not known
	boundsAt       time.Time
	boundsWanted   bool
}

func (s *stream) resetSnapshotter(l *loadedState) {
	s.snapshotter = snapshotter{}
	if l.latest != nil {
		s.snapshotAt = l.machine.clock
	}
}

// trackSnapshot counts the chunks of a snapshot, whoever wrote it.
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

// maintain is called from time to time by the daemon that appends for the
// stream. It starts a snapshot when one is due.
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

// snapshotTrimmed reports whether a new reader could not start any more: the log has
// dropped records and the latest snapshot is not whole there.
func (s *stream) snapshotTrimmed(now time.Time) bool {
	if s.firstOffset <= 1 || now.Sub(s.snapshotAt) < boundsPeriod {
		return false
	}
	return s.latest == nil || s.latest.AsOf+1 < s.firstOffset
}

func (s *stream) snapshotRecordReady() bool { return len(s.chunks) > 0 || s.recordDue }

// nextChunk returns the chunk that goes with the next record.
func (s *stream) nextChunk() *callspb.SnapshotChunk {
	if len(s.chunks) == 0 {
		s.recordDue = false
		return nil
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c
}

// chunkFailed gives up a snapshot one of whose chunks was not appended.
func (s *stream) chunkFailed(f *appendOp) {
	if f.batch.Chunk != nil {
		s.chunks, s.recordDue = nil, false
	}
}

// estimateEntryBytes estimates the size of an entry in a record.
func estimateEntryBytes(e *callspb.Entry) int {
	const fixed = 128
	return fixed + len(e.GetOutcome().GetBody())
}
