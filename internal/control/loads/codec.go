package loads

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"currantpulley/internal/control/broadcast"
	pb "currantpulley/internal/control/loads/loadspb"
	"currantpulley/internal/snapshot"
)

const maxStates = 64 // maximum number of full states in one message

// message is a batch and the hop of the tree to which it goes.
type message struct {
	hop   broadcast.Hop
	batch *pb.Batch
}

// flush empties the queue of one level of the tree and returns the message for
// it, if there is anything to send.
func (m *machine) flush(level int) (message, bool) {
	hops := m.ring.Hops(level)
	if level >= len(m.levels) || len(m.levels[level]) == 0 {
		return message{}, false
	}
	names := slices.Sorted(maps.Keys(m.levels[level]))
	clear(m.levels[level])
	if len(hops) == 0 || m.site == "" {
		return message{}, false
	}
	b := m.batch(level + 1)
	last := uint32(0)
	for _, name := range names {
		if r, ok := m.records[name]; ok {
			appendLoad(b, r, last)
			last = r.index
		}
	}
	return message{hops[0], b}, len(b.GetStep()) > 0
}

// urgentMessages builds the messages that broadcast the full states of the named
// engines at the levels from first on.
func (m *machine) urgentMessages(names []string, first int) []message {
	if m.site == "" {
		return nil
	}
	var out []message
	for _, hop := range m.ring.Hops(first) {
		b := m.batch(hop.Level + 1)
		b.Urgent = true
		for _, name := range names {
			b.States = append(b.States, m.fullState(name))
		}
		out = append(out, message{hop, b})
	}
	return out
}

// batch returns an empty batch for receivers that forward at the levels from
// level on.
func (m *machine) batch(level int) *pb.Batch {
	return &pb.Batch{Site: m.site, Dictionary: m.dictionary, Level: uint32(level)}
}

// appendLoad adds a row to the columns of b. Rows must be added in the order of
// the engines' indices; last is the index of the row before.
func appendLoad(b *pb.Batch, r *record, last uint32) {
	load := r.state.Load
	b.Step = append(b.Step, r.index-last)
	b.Sequence = binary.LittleEndian.AppendUint16(b.Sequence, uint16(r.sequence))
	b.StateCheck = binary.LittleEndian.AppendUint16(b.StateCheck, r.stateCheck)
	b.Running = append(b.Running, quantise(load.Running))
	b.Queued = append(b.Queued, quantise(load.Queued))
	b.QueuedTokens = append(b.QueuedTokens, quantise(load.QueuedTokens))
	b.CachedShare = append(b.CachedShare, quantiseShare(load.CachedPieces, load.CapacityPieces))
}

// decodeLoad returns the load in row i, for an engine whose cache holds capacity
// pieces.
func decodeLoad(b *pb.Batch, i, capacity int) snapshot.Load {
	return snapshot.Load{
		Running:        dequantise(b.GetRunning()[i]),
		Queued:         dequantise(b.GetQueued()[i]),
		QueuedTokens:   dequantise(b.GetQueuedTokens()[i]),
		CachedPieces:   capacity * int(b.GetCachedShare()[i]) / math.MaxUint8,
		CapacityPieces: capacity,
	}
}

// fullState encodes the full state of an engine.
func (m *machine) fullState(name string) *pb.State {
	r := m.records[name]
	return &pb.State{
		Upstream:    name,
		Sequence:    r.sequence,
		Health:      uint32(r.state.Health),
		Incarnation: r.state.Incarnation,
		Weights:     r.state.Weights,
		Load: &pb.Load{
			Running:        uint32(r.state.Load.Running),
			Queued:         uint32(r.state.Load.Queued),
			QueuedTokens:   uint32(r.state.Load.QueuedTokens),
			CachedPieces:   uint32(r.state.Load.CachedPieces),
			CapacityPieces: uint32(r.state.Load.CapacityPieces),
		},
	}
}

// receive applies a batch. It returns the reply and the engines whose states
// must be forwarded at once.
func (m *machine) receive(now time.Time, b *pb.Batch) (reply *pb.PushReply, urgent []string) {
	reply = &pb.PushReply{}
	if b.GetSite() != m.site || m.site == "" {
		return reply, nil
	}
	for _, s := range b.GetStates() {
		isNew := m.receiveState(now, s, reply)
		if !isNew {
			continue
		}
		m.enqueue(s.GetUpstream(), int(b.GetLevel()))
		if b.GetUrgent() {
			urgent = append(urgent, s.GetUpstream())
		}
	}
	if b.GetDictionary() == m.dictionary && wellFormed(b) {
		m.receiveLoads(now, b, reply)
	}
	return reply, urgent
}

// wellFormed reports whether all columns have the same length.
func wellFormed(b *pb.Batch) bool {
	n := len(b.GetStep())
	return len(b.GetSequence()) == 2*n && len(b.GetStateCheck()) == 2*n && len(b.GetRunning()) == n &&
		len(b.GetQueued()) == n && len(b.GetQueuedTokens()) == n && len(b.GetCachedShare()) == n
}

// receiveState applies a full state and reports whether it was new.
func (m *machine) receiveState(now time.Time, s *pb.State, reply *pb.PushReply) (isNew bool) {
	r, ok := m.records[s.GetUpstream()]
	if !ok {
		return false
	}
	if s.GetSequence() <= r.sequence {
		m.offerNewer(r, s.GetSequence(), reply)
		return false
	}
	r.sequence = s.GetSequence()
	r.refreshAt = now // if this daemon owns the engine too, it broadcasts its own state with the next poll
	m.setState(r, State{
		Upstream:    s.GetUpstream(),
		Health:      snapshot.Health(min(s.GetHealth(), uint32(snapshot.Down))),
		Incarnation: s.GetIncarnation(),
		Weights:     s.GetWeights(),
		Load: snapshot.Load{
			Running:        int(s.GetLoad().GetRunning()),
			Queued:         int(s.GetLoad().GetQueued()),
			QueuedTokens:   int(s.GetLoad().GetQueuedTokens()),
			CachedPieces:   int(s.GetLoad().GetCachedPieces()),
			CapacityPieces: int(s.GetLoad().GetCapacityPieces()),
			At:             now,
		},
	})
	return true
}

// offerNewer adds the state in r to the reply if the sender's is older.
func (m *machine) offerNewer(r *record, theirs uint64, reply *pb.PushReply) {
	if theirs < r.sequence && len(reply.Newer) < maxStates {
		reply.Newer = append(reply.Newer, m.fullState(r.state.Upstream))
	}
}

// receiveLoads applies the rows of a batch.
func (m *machine) receiveLoads(now time.Time, b *pb.Batch, reply *pb.PushReply) {
	index := uint32(0)
	for i, step := range b.GetStep() {
		index += step
		if int(index) >= len(m.names) {
			return
		}
		m.receiveLoad(now, b, i, index, reply)
	}
}

// receiveLoad applies row i of a batch. It asks for the full state if that is
// unknown here or differs from the one to which the load belongs.
func (m *machine) receiveLoad(now time.Time, b *pb.Batch, i int, index uint32, reply *pb.PushReply) {
	r := m.records[m.names[index]]
	sequence := expandSequence(binary.LittleEndian.Uint16(b.GetSequence()[2*i:]), r.sequence)
	switch {
	case r.sequence == 0:
		reply.Wanted = append(reply.Wanted, index)
		return
	case sequence <= r.sequence:
		m.offerNewer(r, sequence, reply)
		return
	case binary.LittleEndian.Uint16(b.GetStateCheck()[2*i:]) != r.stateCheck:
		reply.Wanted = append(reply.Wanted, index)
		return
	}
	r.sequence = sequence
	r.refreshAt = now
	r.state.Load = decodeLoad(b, i, r.state.Load.CapacityPieces)
	r.state.Load.At = now
	m.changed = true
	m.enqueue(r.state.Upstream, int(b.GetLevel()))
}

// handleReply applies the reply to a batch. It returns a batch for the same
// level with the full states that the receiver lacks, or nil if it lacks none.
func (m *machine) handleReply(now time.Time, sent *pb.Batch, reply *pb.PushReply) *pb.Batch {
	m.receiveStates(now, reply.GetNewer())
	if len(reply.GetWanted()) == 0 || sent.GetDictionary() != m.dictionary {
		return nil
	}
	b := m.batch(int(sent.GetLevel()))
	for _, index := range reply.GetWanted() {
		if int(index) < len(m.names) && len(b.States) < maxStates {
			b.States = append(b.States, m.fullState(m.names[index]))
		}
	}
	return b
}

// receiveStates applies full states for which no reply is needed.
func (m *machine) receiveStates(now time.Time, states []*pb.State) {
	for _, s := range states {
		m.receiveState(now, s, &pb.PushReply{})
	}
}

// pull builds a request with the sequence numbers of all engines.
func (m *machine) pull() *pb.PullRequest {
	req := &pb.PullRequest{Site: m.site, Dictionary: m.dictionary}
	for _, name := range m.names {
		req.Sequence = append(req.Sequence, m.records[name].sequence)
	}
	return req
}

// answerPull returns the states that are newer here, those with the greatest lag
// at the peer first.
func (m *machine) answerPull(req *pb.PullRequest) *pb.PullReply {
	reply := &pb.PullReply{}
	if req.GetSite() != m.site || req.GetDictionary() != m.dictionary || len(req.GetSequence()) != len(m.names) {
		return reply
	}
	lag := func(name string) uint64 {
		r := m.records[name]
		return r.sequence - min(r.sequence, req.GetSequence()[r.index])
	}
	behind := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return lag(name) == 0 })
	slices.SortStableFunc(behind, func(a, b string) int { return cmp.Compare(lag(b), lag(a)) })
	for _, name := range behind[:min(maxStates, len(behind))] {
		reply.States = append(reply.States, m.fullState(name))
	}
	return reply
}
