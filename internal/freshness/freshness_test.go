package freshness

import (
	"testing"
	"time"
)

func TestProof(t *testing.T) {
	var p Proof
	now := Now()
	if p.ObservePeer(0, now) || p.Within(time.Hour, now) {
		t.Error("the zero value counts as a proof")
	}
	p.RecordRead(7, now)
	p.RecordRead(5, now.Add(-time.Second))
	if position, age, ok := p.Latest(now.Add(time.Second)); !ok || age != time.Second || position != 7 {
		t.Errorf("position %d, age %v, ok %t", position, age, ok)
	}
	if !p.Within(time.Second, now.Add(time.Second)) || p.Within(time.Second, now.Add(time.Second+1)) {
		t.Error("the age is not compared with the bound exactly")
	}
}

// A daemon that is partitioned from the store may rely on the proofs of others,
// unless the other has read more than it.
func TestProofOfOthers(t *testing.T) {
	var p Proof
	now := Now()
	p.RecordRead(7, now)
	later := now.Add(3 * time.Second)
	for _, tc := range []struct {
		name     string
		position int64
		proves   bool
	}{{"same", 7, true}, {"shorter", 6, true}, {"longer", 8, false}} {
		q := Proof{at: p.at, position: p.position}
		if q.ObservePeer(tc.position, later) == tc.proves || q.Within(time.Second, later) != tc.proves {
			t.Errorf("%s reading: proves is not %t", tc.name, tc.proves)
		}
	}
}

func TestClockDoesNotGoBack(t *testing.T) {
	before := Now()
	time.Sleep(time.Millisecond)
	if d := Now().Sub(before); d < time.Millisecond {
		t.Errorf("the clock advanced by %v in a sleep of 1ms", d)
	}
}

func TestPausesAreDetected(t *testing.T) {
	p := &Pauses{}
	begin := Now()
	p.last.Store(int64(begin))
	p.tick(begin.Add(pauseInterval))
	if p.ended.Load() != 0 {
		t.Error("a running process counts as paused")
	}
	p.tick(begin.Add(pauseInterval + time.Second))
	p.last.Store(int64(Now()))
	if !p.Since(begin) || p.Since(begin.Add(2*time.Second)) {
		t.Error("the end of the pause is not recorded correctly")
	}
}
