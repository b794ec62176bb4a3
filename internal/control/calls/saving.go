package calls

import (
	"math/rand/v2"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
)

const (
	snapshotMinBytes = 64 << 10 // of records between two snapshots
	snapshotMaxAge   = 15 * time.Minute
	boundsEvery      = 2 * time.Second // looks for trimmed records
	clockTicks       = 20              // records that move the clock of an incomplete stream through one horizon
)

// saving is a stream's part that keeps snapshots in the log. A snapshot is
// due when as many bytes were appended as the last one took, so it at most
// doubles the stream, when the last one was trimmed, or after snapshotMaxAge.
type saving struct {
	chunks    []*callspb.SnapshotChunk // to be appended
	own       uint64                   // snapshot that this daemon appended last
	announce  bool                     // append a record for its reference or its time
	seen      *callspb.SnapshotChunk   // last chunk of the snapshot being read
	seenCount uint32
	seenBytes int
	lastBytes int // of the latest snapshot
	bytes     int // of records since
	savedAt   time.Time
	tickedAt  time.Time
	first     uint64 // offset that the log still had at boundsAt; 0: not known
	boundsAt  time.Time
	askBounds bool
}

func (s *stream) resetSaving(l *loaded) {
	s.saving = saving{}
	if l.latest != nil {
		s.savedAt = l.machine.clock
	}
}

// sawRecord counts the chunks of a snapshot, whoever wrote it.
func (s *stream) sawRecord(r backing.Record, b *callspb.Batch) {
	s.bytes += len(r.Data)
	c := b.Chunk
	if c == nil {
		return
	}
	if c.Index == 0 {
		s.seenCount, s.seenBytes = 0, 0
	}
	if c.Index != s.seenCount || (s.seen != nil && c.Index > 0 && s.seen.Id != c.Id) {
		return
	}
	s.seen = c
	s.seenCount++
	s.seenBytes += len(r.Data)
	if s.seenCount == c.Count {
		s.latest = newer(s.latest, &callspb.SnapshotRef{AsOf: c.AsOf, Last: r.Offset, Id: c.Id})
		s.bytes, s.lastBytes, s.savedAt = 0, s.seenBytes, r.At
		s.announce = s.announce || c.Id == s.own
	}
}

// maintain is called from time to time by the daemon that appends for the
// stream. It starts a snapshot when one is due.
func (s *stream) maintain(now time.Time, horizon time.Duration) {
	if s.machine == nil || s.broken != nil || s.readsFail || s.next <= 1 || s.chunkReady() {
		return
	}
	if !s.complete() {
		if now.Sub(s.tickedAt) > max(time.Second, horizon/clockTicks) {
			s.announce, s.tickedAt = true, now
		}
		return
	}
	s.askBounds = now.Sub(s.boundsAt) >= boundsEvery
	grown := s.bytes >= max(snapshotMinBytes, s.lastBytes)
	if !grown && !s.trimmed(now) && now.Sub(s.savedAt) < snapshotMaxAge {
		return
	}
	s.savedAt = now
	s.own = rand.Uint64()
	s.chunks = s.machine.save(s.own, s.next-1)
}

// trimmed reports whether a new reader could not start any more: the log has
// dropped records and the latest snapshot is not whole there.
func (s *stream) trimmed(now time.Time) bool {
	if s.first <= 1 || now.Sub(s.savedAt) < boundsEvery {
		return false
	}
	return s.latest == nil || s.latest.AsOf+1 < s.first
}

func (s *stream) chunkReady() bool { return len(s.chunks) > 0 || s.announce }

// nextChunk returns the chunk that goes with the next record.
func (s *stream) nextChunk() *callspb.SnapshotChunk {
	if len(s.chunks) == 0 {
		s.announce = false
		return nil
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c
}

// chunkFailed gives up a snapshot one of whose chunks was not appended.
func (s *stream) chunkFailed(f *flight) {
	if f.batch.Chunk != nil {
		s.chunks, s.announce = nil, false
	}
}

// entryBytes estimates the size of an entry in a record.
func entryBytes(e *callspb.Entry) int {
	const fixed = 128
	return fixed + len(e.GetOutcome().GetBody())
}
