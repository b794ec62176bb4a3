package balance

import (
	"fmt"
	"testing"
	"time"
)

// While more comes in than the engines can take, requests past the objective
// are refused at once, and those that come back are let in more easily. Each
// one that is let in waits no longer than its bound.
func TestExcessOfABurstIsRefused(t *testing.T) {
	const objective = 600 * time.Millisecond
	b, w := newTest(12)
	let, refused := 0, 0
	for i := range 120 {
		p := b.Pick(w.Load(), longWork(fmt.Sprint("s", i)), testNow)
		after, over := p.Overloaded(objective, false)
		if !over {
			let++
			if p.Ahead > scale(objective, aheadMax) {
				t.Fatalf("request %d is let in behind %v", i, p.Ahead)
			}
			continue
		}
		refused++
		if after < returnMin || after > returnMax {
			t.Fatalf("request %d should come back after %v", i, after)
		}
		b.Done(p, Cancelled, testNow)
	}
	if let < 12 || refused == 0 {
		t.Errorf("%d are let in and %d refused", let, refused)
	}
	p := b.Pick(w.Load(), longWork("again"), testNow)
	if _, over := p.Overloaded(objective, true); over {
		t.Errorf("a request that came back is refused behind %v", p.Ahead)
	}
}

// A large prompt is not refused for its own size.
func TestLargePromptIsLetInWhereNothingWaits(t *testing.T) {
	b, w := newTest(3)
	work := longWork("s")
	work.Prompt.Tokens = 90000
	if _, over := b.Pick(w.Load(), work, testNow).Overloaded(600*time.Millisecond, false); over {
		t.Error("refused though nothing waits")
	}
}

// Fetching parts leaves a copy that displaces others, so alike prompts meet at
// one engine while its wait is bearable, and spread when it is not.
func TestAlikePromptsMeetUntilTheirEngineIsBusy(t *testing.T) {
	b, w := newTest(12)
	first := b.Pick(w.Load(), longWork("s"), testNow)
	b.Began(first, testNow)
	b.Done(first, Served, testNow)
	second := b.Pick(w.Load(), longWork("s"), testNow)
	third := b.Pick(w.Load(), longWork("s"), testNow)
	if second.Upstream != first.Upstream || third.Upstream != first.Upstream {
		t.Error("alike prompts spread though their engine is hardly busy")
	}
	for range 6 {
		b.Pick(w.Load(), longWork("s"), testNow)
	}
	if p := b.Pick(w.Load(), longWork("s"), testNow); p.Upstream == first.Upstream {
		t.Errorf("alike prompts queue up behind %v", p.Ahead)
	}
}
