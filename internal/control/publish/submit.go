package publish

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	pb "currantpulley/internal/control/publish/publishpb"
)

const (
	submitRetry    = 500 * time.Millisecond // delay after a failed call to the log
	resolveTimeout = 2 * time.Second        // for a record to appear whose append had no reply
	knownTimeout   = 5 * time.Second        // for a daemon to state which version is in force
)

// Errors of Submit.
var (
	// ErrUndecided means that the context ended before a verdict. Submitting
	// the same again follows the same candidate.
	ErrUndecided = errors.New("the candidate is not decided yet; run the same command again to follow it")
	// ErrHalted means that the stream has a record that this program can't
	// decode.
	ErrHalted = errors.New("the configuration stream can't be processed")
)

// Submission is a configuration to publish.
type Submission struct {
	Set       *config.Set
	Author    string
	Override  bool   // skip the guards against large changes
	Parent    uint64 // version that the edit was made from; 0: the one in force
	Republish bool   // publish content that was in force before and was replaced since
}

// Decision is the result of a submission.
type Decision struct {
	Outcome
	Already bool            // the content came into force earlier; Winner is the version in force now
	Elapsed time.Duration   // from before the append to the reading of the verdict
	Changes []config.Change // if lost or replaced: differences from the version in force
}

// Submitter publishes configurations through the log, without a connection to a
// daemon. It is not safe for concurrent use.
type Submitter struct {
	log      backing.Log
	progress func(text string)
	history  *history // nil: the stream has to be read from its first record
	from     uint64   // offset of the next record to read
}

// NewSubmitter returns a Submitter that reports what it waits for to progress.
func NewSubmitter(log backing.Log, progress func(text string)) *Submitter {
	return &Submitter{log: log, progress: progress}
}

// Submit publishes sub and waits for the verdict. It is idempotent: submitting
// the same content again while it is undecided, or after the reply to the append
// was lost, publishes it once. It returns ErrUndecided if ctx ends before the
// verdict, ErrHalted if the stream can't be processed, and
// backing.ErrUnavailable if ctx ends before the first contact with the log or
// before the candidate was appended.
func (s *Submitter) Submit(ctx context.Context, sub Submission) (Decision, error) {
	if err := s.readHistory(ctx); err != nil {
		return Decision{}, err
	}
	started := time.Now()
	if d, done := s.decideFromHistory(sub); done {
		return d, nil
	}
	offset, err := s.ensureAppended(ctx, sub)
	if err != nil {
		return Decision{}, err
	}
	o, err := s.awaitVerdict(ctx, offset)
	if err != nil {
		return Decision{Outcome: o}, err
	}
	d := Decision{Outcome: o, Elapsed: time.Since(started)}
	if o.Result == Lost {
		d.Changes = s.changesFromWinner(sub.Set)
	}
	return d, nil
}

// decideFromHistory returns the decision if it follows from the records read:
// the content is or was in force, or the parent is no longer in force.
func (s *Submitter) decideFromHistory(sub Submission) (Decision, bool) {
	h := s.history
	o := Outcome{Result: Committed, Hash: sub.Set.Hash(), Parent: sub.Parent, Author: sub.Author, Winner: h.inForce}
	if h.hash == sub.Set.Hash() {
		o.Candidate = h.inForce
		return Decision{Outcome: o, Already: true}, true
	}
	if sub.Parent != 0 && sub.Parent != h.inForce {
		o.Result = Lost
		return Decision{Outcome: o, Changes: s.changesFromWinner(sub.Set)}, true
	}
	for _, old := range h.outcomes {
		if old.Result == Committed && old.Hash == sub.Set.Hash() && !sub.Republish {
			old.Winner = h.inForce
			return Decision{Outcome: old, Already: true, Changes: s.changesFromWinner(sub.Set)}, true
		}
	}
	return Decision{}, false
}

// readHistory reads the whole stream and waits until a record states which
// version is in force. After knownTimeout it assumes that there is none.
func (s *Submitter) readHistory(ctx context.Context) error {
	deadline := time.Now().Add(knownTimeout)
	for {
		if err := s.read(ctx, 0); err != nil {
			return err
		}
		if s.history.haltedOffset != 0 {
			return fmt.Errorf("%w: record %d: %w", ErrHalted, s.history.haltedOffset, s.history.haltedErr)
		}
		if s.history.known {
			return nil
		}
		if time.Now().After(deadline) {
			s.history.assume(0, "")
			return nil
		}
		s.progress("waiting for a daemon to state which version is in force")
		if err := s.read(ctx, readWait); err != nil {
			return err
		}
	}
}

// read reads records up to the end of the stream and waits up to wait for the
// first. It retries during outages until ctx ends.
func (s *Submitter) read(ctx context.Context, wait time.Duration) error {
	for {
		n, err := s.readOnce(ctx, wait)
		switch {
		case ctx.Err() != nil && s.history == nil:
			return fmt.Errorf("read configuration stream: %w: %w", backing.ErrUnavailable, ctx.Err())
		case ctx.Err() != nil:
			return ErrUndecided
		case err != nil:
			s.progress(fmt.Sprintf("the log does not answer: %v", err))
			sleep(ctx, submitRetry)
		case n < readLimit:
			return nil
		}
	}
}

// readOnce reads at most readLimit records and returns their number. When the
// log has trimmed the next record, it drops the history so that the next call
// starts at the first retained record.
func (s *Submitter) readOnce(ctx context.Context, wait time.Duration) (int, error) {
	if s.history == nil {
		first, _, err := s.log.Bounds(ctx, backing.StreamConfig)
		if err != nil {
			return 0, err
		}
		s.history, s.from = newHistory(max(first, 1)), max(first, 1)
	}
	records, err := s.log.Read(ctx, backing.StreamConfig, s.from, readLimit, wait)
	if errors.Is(err, backing.ErrTrimmed) {
		s.history = nil
		return readLimit, nil
	}
	for _, r := range records {
		s.history.read(newEntry(r))
		s.from = r.Offset + 1
	}
	return len(records), err
}

// ensureAppended returns the offset of the submission's candidate, and appends it
// unless it is in the log.
func (s *Submitter) ensureAppended(ctx context.Context, sub Submission) (uint64, error) {
	nonce := s.nonce(sub)
	if offset, ok := s.history.findNonce(nonce); ok {
		s.progress(fmt.Sprintf("following candidate %d, which an earlier run appended", offset))
		return offset, nil
	}
	data, err := s.encode(sub, nonce)
	if err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		offset, err := s.log.Append(ctx, backing.StreamConfig, data)
		if err == nil {
			s.progress(fmt.Sprintf("candidate %d is in the log", offset))
			return offset, nil
		}
		s.progress(fmt.Sprintf("the append failed: %v", err))
		if errors.Is(err, backing.ErrUnknownOutcome) {
			if offset, ok := s.findAppended(ctx, nonce); ok {
				return offset, nil
			}
		}
		sleep(ctx, submitRetry)
	}
	return 0, fmt.Errorf("append candidate: %w", backing.ErrUnavailable)
}

// nonce returns the nonce of sub. It is the same for every run that publishes the
// same content on the same parent, until that was refused.
func (s *Submitter) nonce(sub Submission) string {
	refused := 0
	for _, o := range s.history.outcomes {
		if o.Result == Refused && o.Hash == sub.Set.Hash() && o.Parent == s.history.inForce {
			refused++
		}
	}
	return fmt.Sprintf("%s-%d-%t-%d", sub.Set.Hash(), s.history.inForce, sub.Override, refused)
}

// encode returns the record of sub's candidate, as a delta if possible.
func (s *Submitter) encode(sub Submission, nonce string) ([]byte, error) {
	var base *fullRecord
	if n := len(s.history.fullRecords); n > 0 {
		base = &s.history.fullRecords[n-1]
	}
	payload, err := encodePayload(sub.Set.Canonical(), base)
	if err != nil {
		return nil, err
	}
	return encodeRecord(candidateRecord(&pb.Candidate{
		Parent: s.history.inForce, Hash: sub.Set.Hash(), Payload: payload,
		Nonce: nonce, Author: sub.Author, Override: sub.Override,
	}))
}

// findAppended looks for the record of an append whose reply was lost. If it does
// not appear, appending again is safe: readers ignore the second record with a
// nonce.
func (s *Submitter) findAppended(ctx context.Context, nonce string) (uint64, bool) {
	deadline := time.Now().Add(resolveTimeout)
	for time.Now().Before(deadline) {
		if s.read(ctx, submitRetry) != nil || s.history == nil {
			return 0, false
		}
		if offset, ok := s.history.findNonce(nonce); ok {
			s.progress(fmt.Sprintf("candidate %d is in the log", offset))
			return offset, true
		}
	}
	return 0, false
}

// awaitVerdict reads the stream until the candidate is decided.
func (s *Submitter) awaitVerdict(ctx context.Context, offset uint64) (Outcome, error) {
	for {
		o, ok := s.history.outcome(offset)
		if ok && o.Result == Duplicate {
			offset = o.Winner
			continue
		}
		if ok && o.Result != Open {
			return o, nil
		}
		if err := s.read(ctx, readWait); err != nil {
			return Outcome{Candidate: offset, Result: Open}, err
		}
	}
}

// changesFromWinner returns the differences from the version in force, or nil if
// its content can't be read.
func (s *Submitter) changesFromWinner(own *config.Set) []config.Change {
	content, err := s.history.content()
	if err != nil {
		return nil
	}
	winner, err := config.ParseCanonical(content)
	if err != nil {
		return nil
	}
	return config.Diff(winner, own)
}
