package calls

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/fake/memlog"
)

// TestNewReaderLoadsSnapshot guards against keys lost in snapshots. After all
// records that a snapshot covers were trimmed, a new reader must know every
// key.
func TestNewReaderLoadsSnapshot(t *testing.T) {
	const keys = 2000 // more than one chunk
	now := time.UnixMilli(1_700_000_000_000)
	log := memlog.New(func() time.Time { return now })
	s := newStream(0, 1, now)
	s.load(now, &loadedState{machine: newMachine(), next: 1})
	appendAndRead := func() {
		for todo := s.nextActions(now); todo.append != nil || s.snapshotRecordReady(); todo = s.nextActions(now) {
			now = now.Add(time.Second)
			if todo.append == nil {
				continue
			}
			record, err := encode(todo.append.batch)
			if err != nil {
				t.Fatal(err)
			}
			_, err = log.Append(context.Background(), testStream, record)
			s.appendDone(now, todo.append, err)
			records, err := log.Read(context.Background(), testStream, s.next, readLimit, 0)
			if err != nil || s.applyRecords(now, records, now) != nil {
				t.Fatal(err)
			}
		}
	}
	for _, e := range testEntries(keys) {
		s.submit(now, &submission{entry: e, reply: func(*callspb.SubmitReply) {}})
	}
	appendAndRead()
	s.maintain(now.Add(snapshotMaxAge), time.Hour)
	if len(s.chunks) < 2 {
		t.Fatalf("%d chunks, want several", len(s.chunks))
	}
	appendAndRead()
	if s.latest == nil {
		t.Fatal("the snapshot is not whole")
	}
	log.Trim(testStream, s.latest.AsOf+1)
	l, err := load(context.Background(), log, testStream, now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if l.latest == nil || !l.completeAt.IsZero() || len(l.machine.keys) != keys {
		t.Fatalf("loaded %d calls, snapshot %v, complete at %v", len(l.machine.keys), l.latest, l.completeAt)
	}
	for i := range keys {
		key := keyDigest("workspace", fmt.Sprint("key-", i))
		if c := l.machine.find(key); c == nil || c.outcome.GetStatus() != 200 {
			t.Fatalf("key %d: %+v", i, c)
		}
	}
}

// TestIncompleteStreamRejectsIntents guards against verdicts from a reader that
// misses trimmed records and has no snapshot. It must reject intents until the
// retention of the missed records is over.
func TestIncompleteStreamRejectsIntents(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	log := memlog.New(func() time.Time { return now })
	for range 3 {
		record, _ := encode(&callspb.Batch{})
		_, _ = log.Append(context.Background(), testStream, record)
	}
	log.Trim(testStream, 3)
	l, err := load(context.Background(), log, testStream, now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	s := newStream(0, 1, now)
	s.load(now, l)
	var verdict callspb.Verdict
	submit := func() {
		s.submit(now, &submission{entry: testEntries(1)[0], reply: func(r *callspb.SubmitReply) { verdict = r.Verdict }})
	}
	if submit(); verdict != callspb.Verdict_VERDICT_NOT_READY {
		t.Fatalf("verdict %v before the horizon", verdict)
	}
	verdict = 0
	s.machine.advanceClock(now.Add(time.Hour))
	if submit(); verdict != 0 || s.nextActions(now).append == nil {
		t.Fatalf("verdict %v after the horizon; want an append", verdict)
	}
}

// TestTrimmedSnapshotIsReplaced guards against a stream that no new reader can
// load: a new snapshot is due once the log has trimmed records that the last
// one does not cover.
func TestTrimmedSnapshotIsReplaced(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := newStream(0, 1, now)
	s.load(now, &loadedState{machine: newMachine(), next: 10, latest: &callspb.SnapshotRef{AsOf: 5, Last: 6}})
	s.snapshotAt = now
	now = now.Add(boundsPeriod)
	for _, c := range []struct {
		first uint64
		due   bool
	}{{1, false}, {6, false}, {7, true}} {
		if s.maintain(now, time.Hour); s.snapshotRecordReady() || !s.nextActions(now).fetchBounds {
			t.Fatal("the log is not asked, or a snapshot is due too early")
		}
		s.boundsDone(now, c.first, 10, nil)
		if s.maintain(now, time.Hour); s.snapshotRecordReady() != c.due {
			t.Errorf("first offset %d: snapshot due %v, want %v", c.first, s.snapshotRecordReady(), c.due)
		}
		now = now.Add(boundsPeriod)
	}
}
