package limits

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/config"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// exchange sums and averages the uses of all daemons as the usage exchange does.
type exchange struct {
	average Total
	at      time.Time
}

// round collects the uses of all ledgers since the last round.
func (x *exchange) round(ledgers []*Ledger, now time.Time) {
	var sum Use
	for _, l := range ledgers {
		for _, u := range l.Usage(now) {
			sum.Requests += u.Requests
			sum.Tokens += u.Tokens
		}
	}
	dt := now.Sub(x.at).Seconds()
	decay := math.Exp(-dt / averagingTime.Seconds())
	x.average = Total{"w", decay*x.average.Requests + (1-decay)*sum.Requests/dt, decay*x.average.Tokens + (1-decay)*sum.Tokens/dt}
	x.at = now
}

func TestLimitsHoldOverAllDaemons(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("admitted requests and tokens stay within the stated bound", prop.ForAll(func(seed uint64, n int, exchanging bool) bool {
		const seconds, limit, tokensPerRequest = 40, 100.0, 50
		w := &config.Workspace{Name: "w", RequestsPerSecond: limit, TokensPerMinute: limit * tokensPerRequest * secondsPerMinute / 2}
		r := rand.New(rand.NewPCG(seed, 0))
		ledgers := make([]*Ledger, n)
		demand := make([]float64, n)
		for i := range ledgers {
			ledgers[i] = NewLedger()
			demand[i] = r.Float64() * 4 * limit / float64(n)
		}
		x := exchange{at: start}
		admitted := 0
		for ms := range seconds * 1000 / 10 {
			now := start.Add(time.Duration(ms) * 10 * time.Millisecond)
			if exchanging && ms%200 == 0 && ms > 0 {
				x.round(ledgers, now)
				for _, l := range ledgers {
					l.Apply([]Total{x.average}, now)
				}
			}
			for i, l := range ledgers {
				if r.Float64() < demand[i]/100 {
					if ok, _ := l.Take(w, tokensPerRequest, n, now); ok {
						admitted++
					}
				}
			}
		}
		byRequests := limit*seconds + limit*Burst.Seconds() + float64(n)
		// The token limit allows half as many requests, with a longer burst.
		byTokens := limit/2*(seconds+tokenBurst.Seconds()) + float64(n)
		return float64(admitted) <= min(byRequests, byTokens)
	}, gen.UInt64(), gen.IntRange(1, 12), gen.Bool()))
	properties.TestingRun(t)
}

func TestSharesOfARoundAddUpToOne(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("for any split of the demand", prop.ForAll(func(own []float64) bool {
		total, sum := 0.0, 0.0
		for _, o := range own {
			total += o
		}
		for _, o := range own {
			sum += shareOf(o, total, float64(len(own)))
		}
		return len(own) == 0 || sum < 1+1e-9
	}, gen.SliceOf(gen.Float64Range(0, 1000))))
	properties.TestingRun(t)
}

func TestRefusalReturnsWhenToRetry(t *testing.T) {
	l := NewLedger()
	w := &config.Workspace{Name: "w", RequestsPerSecond: 2, TokensPerMinute: 1e9}
	now := start
	for {
		ok, wait := l.Take(w, 1, 1, now)
		if ok {
			continue
		}
		if wait <= 0 {
			t.Fatal("refused without a time to retry")
		}
		if again, _ := l.Take(w, 1, 1, now.Add(wait)); !again {
			t.Errorf("refused again after the returned time, %v", wait)
		}
		return
	}
}

func TestUnusedTokensAreReturned(t *testing.T) {
	l := NewLedger()
	w := &config.Workspace{Name: "w", TokensPerMinute: 600} // a bucket of 100
	if ok, _ := l.Take(w, 100, 1, start); !ok {
		t.Fatal("refused within the limit")
	}
	if ok, _ := l.Take(w, 50, 1, start); ok {
		t.Fatal("admitted over the limit")
	}
	l.Settle("w", 80)
	if ok, _ := l.Take(w, 50, 1, start); !ok {
		t.Error("refused although tokens were returned")
	}
	l.Settle("w", -100)
	if ok, _ := l.Take(w, 1, 1, start.Add(5*time.Second)); ok {
		t.Error("admitted although tokens are owed")
	}
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	l := NewLedger()
	_, _ = l.Take(&config.Workspace{Name: "w", RequestsPerSecond: 1}, 1, 1, start)
	if uses := l.Usage(start.Add(time.Second)); len(uses) != 1 || uses[0].Requests != 1 {
		t.Errorf("use is %v, expected one request", uses)
	}
	if uses := l.Usage(start.Add(2 * time.Second)); len(uses) != 0 {
		t.Errorf("use is %v, expected none", uses)
	}
	l.Usage(start.Add(2 * idleAfter))
	if l.Len() != 0 {
		t.Error("the account of an idle workspace was not removed")
	}
}
