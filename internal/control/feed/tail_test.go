package feed

import (
	"errors"
	"testing"
	"time"

	"currantpulley/internal/control/feed/feedpb"
	"currantpulley/internal/freshness"
)

func records(n, size int) []Record {
	out := make([]Record, n)
	for i := range out {
		out[i].Data = make([]byte, size)
	}
	return out
}

// What isn't held, or isn't read from the provider now, must be refused: a daemon would
// miss records.
func TestTailRefusesWhatItCannotServe(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(*tail)
		era     uint64
		from    int64
		records int
		refused bool
	}{
		{"not read yet", func(*tail) {}, 1, 5, 0, true},
		{"just reset", func(t *tail) { t.reset(1, 5, 9) }, 1, 5, 0, false},
		{"before the reset", func(t *tail) { t.reset(1, 5, 9) }, 1, 4, 0, true},
		{"held", func(t *tail) { t.reset(1, 5, 9); t.add(Batch{Era: 1, From: 5, Records: records(3, 1)}) }, 1, 6, 2, false},
		{"beyond the reader", func(t *tail) { t.reset(1, 5, 9) }, 1, 8, 0, false},
		{"dropped", func(t *tail) { t.reset(1, 5, 9); t.add(Batch{Era: 1, From: 5, Records: records(3, maxTailBytes/2)}) }, 1, 5, 0, true},
		{"kept", func(t *tail) { t.reset(1, 5, 9); t.add(Batch{Era: 1, From: 5, Records: records(3, maxTailBytes/2)}) }, 1, 6, 2, false},
		{"after a gap", func(t *tail) { t.reset(1, 5, 9); t.add(Batch{Era: 1, From: 7, Records: records(1, 1)}) }, 1, 5, 0, true},
		{"provider restored", func(t *tail) { t.reset(2, 5, 9) }, 1, 5, 0, false},
		{"reader in an older era", func(t *tail) { t.reset(1, 5, 9) }, 2, 5, 0, true},
		{"provider lost", func(t *tail) { t.reset(1, 5, 9); t.lose(errors.New("refused")) }, 1, 5, 0, true},
	} {
		tail := newTail()
		tc.prepare(tail)
		b, _, err := tail.after(tc.era, tc.from)
		if (err != nil) != tc.refused || len(b.Records) != tc.records {
			t.Errorf("%s: %d records, error %v", tc.name, len(b.Records), err)
		}
	}
}

// Calls that wait must end at once with a record, with a restore and with the loss of
// the provider.
func TestWaitingCallsEndAtOnce(t *testing.T) {
	for name, act := range map[string]func(*tail){
		"record":  func(t *tail) { t.add(Batch{Era: 1, From: 5, Records: records(1, 1)}) },
		"restore": func(t *tail) { t.reset(2, 3, 0) },
		"loss":    func(t *tail) { t.lose(errors.New("refused")) },
	} {
		tail := newTail()
		tail.reset(1, 5, 9)
		time.AfterFunc(10*time.Millisecond, func() { act(tail) })
		began := time.Now()
		_, _ = tail.await(t.Context(), 1, 5, time.Minute)
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("%s: the call ended after %v", name, took)
		}
	}
}

// A key that was revoked more than a bound ago must be refused, so a proof that comes
// from another daemon must never seem younger than it is, however long the way was.
func TestProofsThroughAFeedAreNeverTooYoung(t *testing.T) {
	second := freshness.Instant(time.Second)
	for _, way := range []struct{ there, held, back freshness.Instant }{
		{0, 0, 0}, {second, 0, 0}, {0, second, 0}, {0, 0, 20 * second}, {second / 3, second, second / 7},
	} {
		sent, proved := 100*second, 99*second // on one clock, which the reader's differs from by shift
		const shift = 7777 * freshness.Instant(time.Second)
		arrived := sent + way.there
		made := arrived + way.held
		in := Batch{Era: 1, From: 5, Proved: proved + shift, Records: []Record{{Data: []byte("r"), Since: proved + shift, Awaited: true}}}
		out := decode(encode(in, arrived+shift, made+shift), sent, made+way.back)
		if out.Proved > proved || out.Records[0].Since > proved {
			t.Errorf("%+v: a proof of %d seems to be of %d", way, proved, out.Proved)
		}
		if lost := proved.Sub(out.Proved); lost > time.Duration(way.there)+10*time.Millisecond {
			t.Errorf("%+v: the proof lost %v", way, lost)
		}
		if slow := way.there+way.back > freshness.Instant(promptReply); out.Records[0].Awaited == slow {
			t.Errorf("%+v: the record's time counts as observed: %t", way, out.Records[0].Awaited)
		}
	}
}

// A reply that isn't a proper one must not be believed.
func TestRepliesAreChecked(t *testing.T) {
	now := freshness.Instant(time.Hour)
	young, old := now.Add(-time.Second), now.Add(-proofAgeMax-1)
	one := records(1, 1)
	for _, tc := range []struct {
		name   string
		batch  Batch
		proper bool
	}{
		{"records", Batch{Era: 2, From: 5, Records: one, Proved: young}, true},
		{"none", Batch{Era: 2, From: 5, Proved: young}, true},
		{"gap", Batch{Era: 2, From: 6, Records: one, Proved: young}, false},
		{"no proof", Batch{Era: 2, From: 5}, false},
		{"silent provider", Batch{Era: 2, From: 5, Proved: old}, false},
		{"older era", Batch{Era: 1, From: 5, Proved: young}, false},
		{"restored", Batch{Era: 3}, true},
	} {
		if err := tc.batch.check(2, 5, now); (err == nil) != tc.proper {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
	if b := decode(&feedpb.ReadReply{}, now, now); b.Proved != 0 || b.Regained != 0 {
		t.Errorf("an empty reply gives %+v", b)
	}
}
