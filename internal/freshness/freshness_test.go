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
