package memory

import (
	"sync"
	"testing"
)

// Parts must stay within the budget together, and give back what they had.
func TestBudgetIsShared(t *testing.T) {
	const limit, readers = 1000, 50
	b := NewBudget(limit)
	for range 3 {
		var mu sync.Mutex
		var parts []*Part
		var wg sync.WaitGroup
		granted := 0
		for range readers {
			wg.Go(func() {
				p := b.Open()
				for p.Room(7) {
					mu.Lock()
					granted += 7
					mu.Unlock()
				}
				mu.Lock()
				defer mu.Unlock()
				parts = append(parts, p)
			})
		}
		wg.Wait()
		if granted > limit || granted == 0 {
			t.Errorf("%d of %d bytes were granted", granted, limit)
		}
		for _, p := range parts {
			p.Close()
			p.Close()
		}
	}
	if p := b.Open(); !p.Room(limit) || p.Room(1) {
		t.Error("the budget was not given back")
	}
}
