package freshness

import (
	"testing"
	"time"
)

func TestProof(t *testing.T) {
	var p Proof
	now := Now()
	if p.Within(time.Hour, now) {
		t.Error("no proof counts as one")
	}
	p.Extend(now)
	p.Extend(now.Add(-time.Second))
	if age, ok := p.Age(now.Add(time.Second)); !ok || age != time.Second {
		t.Errorf("age %v, %t", age, ok)
	}
	if !p.Within(time.Second, now.Add(time.Second)) || p.Within(time.Second, now.Add(time.Second+1)) {
		t.Error("the bound is not kept")
	}
}

func TestClockDoesNotGoBack(t *testing.T) {
	before := Now()
	time.Sleep(time.Millisecond)
	if d := Now().Sub(before); d < time.Millisecond {
		t.Errorf("%v passed", d)
	}
}

func TestPausesAreNoticed(t *testing.T) {
	p := &Pauses{}
	begin := Now()
	p.last.Store(int64(begin))
	p.tick(begin.Add(pauseTick))
	if p.ended.Load() != 0 {
		t.Error("a process that runs counts as paused")
	}
	p.tick(begin.Add(pauseTick + time.Second))
	p.last.Store(int64(Now()))
	if !p.Since(begin) || p.Since(begin.Add(2*time.Second)) {
		t.Error("a pause is not placed right")
	}
}
