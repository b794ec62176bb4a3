package balance

import (
	"fmt"
	"testing"
	"time"
)

// Under overload, requests that would miss their objective are refused at once,
// and retried requests get a higher limit. No admitted request has more than
// its share of the objective ahead of it.
func TestExcessOfABurstIsRefused(t *testing.T) {
	const objective = 600 * time.Millisecond
	b, w := newTest(12)
	admitted, refused := 0, 0
	for i := range 120 {
		p := b.Pick(w.Load(), longWork(fmt.Sprint("s", i)), testNow)
		after, over := p.Overloaded(objective, false)
		if !over {
			admitted++
			if p.Ahead > scale(objective, aheadShareMax) {
				t.Fatalf("request %d is admitted with %v ahead of it", i, p.Ahead)
			}
			continue
		}
		refused++
		if after < retryAfterMin || after > retryAfterMax {
			t.Fatalf("request %d should be retried after %v", i, after)
		}
		b.Done(p, Cancelled, testNow)
	}
	if admitted < 12 || refused == 0 {
		t.Errorf("%d requests are admitted and %d refused", admitted, refused)
	}
	p := b.Pick(w.Load(), longWork("again"), testNow)
	if _, over := p.Overloaded(objective, true); over {
		t.Errorf("a retried request is refused with %v ahead of it", p.Ahead)
	}
}

// A large prompt is not refused because of its own size.
func TestLargePromptIsAdmittedWhereNothingWaits(t *testing.T) {
	b, w := newTest(3)
	work := longWork("s")
	work.Prompt.Tokens = 90000
	if _, over := b.Pick(w.Load(), work, testNow).Overloaded(600*time.Millisecond, false); over {
		t.Error("refused although nothing waits")
	}
}

// Fetching parts makes a second copy, which evicts other entries. So prompts with
// the same parts go to one engine while its wait is short, and to others when it
// is long.
func TestAlikePromptsMeetUntilTheirEngineIsBusy(t *testing.T) {
	b, w := newTest(12)
	first := b.Pick(w.Load(), longWork("s"), testNow)
	b.Began(first, testNow)
	b.Done(first, Served, testNow)
	second := b.Pick(w.Load(), longWork("s"), testNow)
	third := b.Pick(w.Load(), longWork("s"), testNow)
	if second.Upstream != first.Upstream || third.Upstream != first.Upstream {
		t.Error("prompts with the same parts go to several engines although the first is hardly busy")
	}
	for range 6 {
		b.Pick(w.Load(), longWork("s"), testNow)
	}
	if p := b.Pick(w.Load(), longWork("s"), testNow); p.Upstream == first.Upstream {
		t.Errorf("prompts with the same parts queue at one engine with %v ahead of them", p.Ahead)
	}
}
