package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestNoRetryStormWhileEverythingFails(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("retries stay within the first attempt, the share of requests and the grant", prop.ForAll(func(requests int, share float64) bool {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		begin := now
		b := NewBudget(func() time.Time { return now })
		retries := 0
		for range requests {
			b.Deposit(share)
			for b.Allow() { // every attempt fails
				retries++
			}
			now = now.Add(10 * time.Millisecond)
		}
		allowed := 1 + share*float64(requests) + grantPerSecond*now.Sub(begin).Seconds()
		return float64(retries) <= allowed+1e-6
	}, gen.IntRange(0, 3000), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
}

func TestDaemonWithoutTrafficMayRetry(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b := NewBudget(func() time.Time { return now })
	if !b.Allow() || b.Allow() {
		t.Fatal("expected one attempt at the start")
	}
	now = now.Add(3 * time.Second)
	if !b.Allow() || b.Allow() {
		t.Error("expected one attempt after 3 seconds")
	}
}
