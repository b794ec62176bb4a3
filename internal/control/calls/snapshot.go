package calls

import (
	"time"

	"google.golang.org/protobuf/proto"

	"currantpulley/internal/control/calls/callspb"
)

// chunkBytes is the size of the calls in a chunk from which a new chunk begins.
const chunkBytes = 128 << 10

// snapshot returns the machine's state as the chunks of a snapshot. AsOf is the
// offset of the last record that the machine applied.
func (m *machine) snapshot(snapshotID, asOf uint64) []*callspb.SnapshotChunk {
	var chunks []*callspb.SnapshotChunk
	chunk, size := m.newChunk(snapshotID, asOf), 0
	for key, c := range m.keys {
		if !m.clock.Before(c.expires) {
			continue
		}
		s := toSavedCall(key, c)
		chunk.Calls = append(chunk.Calls, s)
		size += proto.Size(s)
		if size >= chunkBytes {
			chunks = append(chunks, chunk)
			chunk, size = m.newChunk(snapshotID, asOf), 0
		}
	}
	chunks = append(chunks, chunk)
	for i, c := range chunks {
		c.Index, c.Count = uint32(i), uint32(len(chunks))
	}
	return chunks
}

func (m *machine) newChunk(snapshotID, asOf uint64) *callspb.SnapshotChunk {
	return &callspb.SnapshotChunk{Id: snapshotID, AsOf: asOf, ClockMs: m.clock.UnixMilli()}
}

func toSavedCall(key id, c *keyState) *callspb.SavedCall {
	s := &callspb.SavedCall{Key: key[:], Intent: c.intent, Outcome: c.outcome, ExpiresMs: c.expires.UnixMilli()}
	for _, nonce := range c.voided {
		s.Voided = append(s.Voided, nonce[:])
	}
	return s
}

// restore adds the calls of a chunk to the machine.
func (m *machine) restore(chunk *callspb.SnapshotChunk) {
	m.clock = later(m.clock, time.UnixMilli(chunk.ClockMs))
	for _, s := range chunk.Calls {
		c := &keyState{intent: s.Intent, outcome: s.Outcome, expires: time.UnixMilli(s.ExpiresMs)}
		for _, nonce := range s.Voided {
			c.voided = append(c.voided, toID(nonce))
		}
		m.keys[toID(s.Key)] = c
	}
}
