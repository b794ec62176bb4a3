package publish

import (
	"errors"
	"slices"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
)

const (
	maxFullRecords = 4  // full records that deltas may be based on
	maxOutcomes    = 64 // decided candidates that are kept
)

// Result is the state of a candidate.
type Result string

// Results of candidates.
const (
	Open      Result = "open"      // not decided yet
	Committed Result = "committed" // came into force
	Refused   Result = "refused"   // refused by the first verdict
	Lost      Result = "lost"      // another version came into force first
	Duplicate Result = "duplicate" // has the nonce of an earlier candidate
)

// Outcome describes a candidate and its result.
type Outcome struct {
	Candidate uint64        `json:"candidate"` // offset, which is the version
	Result    Result        `json:"result"`
	Hash      string        `json:"hash"`   // of the content
	Parent    uint64        `json:"parent"` // version that it was made from; 0: none
	Author    string        `json:"author"`
	Refusals  []*pb.Refusal `json:"refusals,omitempty"`
	Winner    uint64        `json:"winner,omitempty"` // Lost: the version that came into force; Duplicate: the first candidate with the nonce
	Nonce     string        `json:"-"`
}

// candidate is an undecided candidate.
type candidate struct {
	*pb.Candidate
	offset uint64
	at     time.Time // by the clock of the log
}

// entry is one record of the stream, or the error from decoding it.
type entry struct {
	offset uint64
	at     time.Time // by the clock of the log
	record *pb.Record
	err    error
}

// history is the state that follows from the records of the configuration
// stream. It is a pure function of the records read, so that all readers agree.
// Reading may start in the middle of the stream; which version is in force is
// then unknown until a record states it.
type history struct {
	next            uint64               // offset of the next record
	known           bool                 // whether it is known which version is in force
	inForce         uint64               // version in force; 0: none
	hash            string               // of the content of inForce
	payload         *pb.Payload          // of inForce; nil: its record was not read
	oldestRecordAt  time.Time            // time of the oldest record needed to decode inForce; zero: not in the log
	confirmed       uint64               // highest version with a Confirmation or InForce record
	open            []*candidate         // undecided, in the order of the log
	fullRecords     []fullRecord         // oldest first
	fullRecordTimes map[uint64]time.Time // by offset
	outcomes        []Outcome            // oldest first
	decidedCount    int                  // number of outcomes so far, including dropped ones
	haltedOffset    uint64               // offset of the record that could not be decoded; 0: none
	haltedErr       error
}

// newHistory returns an empty history of a stream whose first retained record
// has the offset first.
func newHistory(first uint64) *history {
	return &history{next: first, known: first <= 1, fullRecordTimes: make(map[uint64]time.Time)}
}

// skipTo continues at first because the records before it can't be read any
// more.
func (h *history) skipTo(first uint64) {
	if first <= h.next {
		return
	}
	h.next = first
	h.known = false
	h.open = nil
	h.oldestRecordAt = time.Time{}
}

// read processes one record. It reports whether the record was new.
func (h *history) read(e entry) bool {
	if e.offset < h.next {
		return false
	}
	h.skipTo(e.offset)
	h.next = e.offset + 1
	if e.err != nil {
		h.halt(e)
		return true
	}
	switch kind := e.record.Kind.(type) {
	case *pb.Record_Candidate:
		h.readCandidate(e, kind.Candidate)
	case *pb.Record_Verdict:
		h.readVerdict(kind.Verdict)
	case *pb.Record_InForce:
		h.readInForce(e, kind.InForce)
	case *pb.Record_Confirmation:
		h.confirmed = max(h.confirmed, kind.Confirmation.GetVersion())
	}
	return true
}

// halt stops the processing of candidates and verdicts, because records after
// an unreadable one may depend on it. A later InForce record ends the halt,
// since its writer has read all records before it.
func (h *history) halt(e entry) {
	if h.haltedOffset == 0 {
		h.haltedOffset, h.haltedErr = e.offset, e.err
	}
	h.open = nil
}

// readCandidate adds an open candidate, or decides it at once if it is a
// duplicate or was made from another version than the one in force.
func (h *history) readCandidate(e entry, c *pb.Candidate) {
	h.addFullRecord(e, c.GetPayload())
	if h.haltedOffset != 0 {
		return
	}
	if first, seen := h.findNonce(c.GetNonce()); seen {
		h.decide(Outcome{Candidate: e.offset, Result: Duplicate, Winner: first}, c)
		return
	}
	if h.known && c.GetParent() != h.inForce {
		h.decide(Outcome{Candidate: e.offset, Result: Lost, Winner: h.inForce}, c)
		return
	}
	h.open = append(h.open, &candidate{Candidate: c, offset: e.offset, at: e.at})
}

// findNonce returns the offset of the first candidate with nonce.
func (h *history) findNonce(nonce string) (uint64, bool) {
	if nonce == "" {
		return 0, false
	}
	for _, o := range h.outcomes {
		if o.Nonce == nonce && o.Result != Duplicate {
			return o.Candidate, true
		}
	}
	for _, c := range h.open {
		if c.GetNonce() == nonce {
			return c.offset, true
		}
	}
	return 0, false
}

// decide adds o to the outcomes, with the description of c.
func (h *history) decide(o Outcome, c *pb.Candidate) {
	o.Hash, o.Parent, o.Author, o.Nonce = c.GetHash(), c.GetParent(), c.GetAuthor(), c.GetNonce()
	h.outcomes = append(h.outcomes, o)
	h.decidedCount++
	if extra := len(h.outcomes) - maxOutcomes; extra > 0 {
		h.outcomes = slices.Delete(h.outcomes, 0, extra)
	}
}

// latest returns the last n outcomes, or all that are kept if there are fewer.
func (h *history) latest(n int) []Outcome {
	return h.outcomes[len(h.outcomes)-min(n, len(h.outcomes)):]
}

// readVerdict applies the first verdict of a candidate. Later ones have no
// effect because the candidate is no longer open.
func (h *history) readVerdict(v *pb.Verdict) {
	i := slices.IndexFunc(h.open, func(c *candidate) bool { return c.offset == v.GetCandidate() })
	if i < 0 || h.haltedOffset != 0 {
		return
	}
	c := h.open[i]
	h.open = slices.Delete(h.open, i, i+1)
	if !v.GetCommit() {
		h.decide(Outcome{Candidate: c.offset, Result: Refused, Refusals: v.GetRefusals()}, c.Candidate)
		return
	}
	h.decide(Outcome{Candidate: c.offset, Result: Committed}, c.Candidate)
	h.setInForce(c.offset, c.GetHash(), c.GetPayload(), h.payloadTime(c))
}

// payloadTime returns the time of the oldest record needed to decode c.
func (h *history) payloadTime(c *candidate) time.Time {
	base := c.GetPayload().GetBase()
	if base == 0 {
		return c.at
	}
	return h.fullRecordTimes[base]
}

// readInForce ends a halt and sets the version in force, or renews the record
// that the version is read from.
func (h *history) readInForce(e entry, f *pb.InForce) {
	h.addFullRecord(e, f.GetPayload())
	h.haltedOffset, h.haltedErr = 0, nil
	h.confirmed = max(h.confirmed, f.GetVersion())
	switch {
	case f.GetVersion() > h.inForce || f.GetVersion() == h.inForce && !h.known:
		h.setInForce(f.GetVersion(), f.GetHash(), f.GetPayload(), e.at)
	case f.GetVersion() == h.inForce:
		h.payload, h.oldestRecordAt = f.GetPayload(), e.at
	}
}

// setInForce sets the version in force. Open candidates that were made from
// another version are lost.
func (h *history) setInForce(version uint64, hash string, payload *pb.Payload, oldestRecordAt time.Time) {
	h.known = true
	h.inForce, h.hash, h.payload, h.oldestRecordAt = version, hash, payload, oldestRecordAt
	h.open = slices.DeleteFunc(h.open, func(c *candidate) bool {
		lost := c.GetParent() != version
		if lost {
			h.decide(Outcome{Candidate: c.offset, Result: Lost, Winner: version}, c.Candidate)
		}
		return lost
	})
}

// adopt sets the version in force to one received from a peer, which may have
// read records that this reader has not.
func (h *history) adopt(version uint64, hash string) {
	if version > h.inForce {
		h.setInForce(version, hash, nil, time.Time{})
	}
}

// assume sets the version in force if no record has stated it.
func (h *history) assume(version uint64, hash string) {
	if !h.known {
		h.setInForce(version, hash, nil, time.Time{})
	}
}

// addFullRecord keeps a payload without a base for later deltas, and drops the
// oldest one above maxFullRecords.
func (h *history) addFullRecord(e entry, p *pb.Payload) {
	if p.GetBase() != 0 {
		return
	}
	h.fullRecords = append(h.fullRecords, fullRecord{e.offset, p.GetData()})
	h.fullRecordTimes[e.offset] = e.at
	if len(h.fullRecords) > maxFullRecords {
		delete(h.fullRecordTimes, h.fullRecords[0].offset)
		h.fullRecords = slices.Delete(h.fullRecords, 0, 1)
	}
}

var errNoPayload = errors.New("the record with the content of the version was not read")

// content returns the canonical form of the version in force.
func (h *history) content() ([]byte, error) {
	if h.payload == nil {
		return nil, errNoPayload
	}
	return decodePayload(h.payload, h.hash, h.fullRecords)
}

// head returns the candidate that is decided next, or nil. Candidates are
// decided one at a time, in the order of the log.
func (h *history) head() *candidate {
	if len(h.open) == 0 || !h.known {
		return nil
	}
	return h.open[0]
}

// outcome returns the outcome of the candidate at offset, if it was read and is
// still kept.
func (h *history) outcome(offset uint64) (Outcome, bool) {
	for _, c := range h.open {
		if c.offset == offset {
			return Outcome{Candidate: offset, Result: Open, Hash: c.GetHash(), Parent: c.GetParent(), Author: c.GetAuthor()}, true
		}
	}
	for _, o := range h.outcomes {
		if o.Candidate == offset {
			return o, true
		}
	}
	return Outcome{}, false
}
