package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	troubleSeed     = 1
	troubleCallers  = 8
	troubleCalls    = 40 // of each caller
	troubleTriesMax = 3  // of each call, by its caller
)

// ledger counts the runs of each call at all upstreams, by idempotency key.
type ledger struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	arrived map[string]int
	tries   int // of callers
}

func newLedger() *ledger {
	return &ledger{random: rand.New(rand.NewPCG(troubleSeed, troubleSeed)), runs: map[string]int{}, arrived: map[string]int{}} //nolint:gosec // a test's dice
}

// intN returns a random number below n.
func (l *ledger) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// record counts an arrival, and a run if the call ran.
func (l *ledger) record(key string, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[key]++
	if ran {
		l.runs[key]++
	}
}

// runsOf returns the runs of a call so far.
func (l *ledger) runsOf(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// respond is the respondFunc of an upstream in trouble.
func (l *ledger) respond(w io.Writer, r *http.Request, _ int) bool {
	id, key, dice := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), l.intN(16)
	l.record(key, dice != 0)
	notRun := func(id string) { writeRaw(w, http.StatusServiceUnavailable, id, "", "X-Effect", "not-run") }
	switch dice {
	case 0: // refuses
		notRun(id)
	case 1: // breaks off without an answer
		return false
	case 2: // breaks off in its answer
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nContent-Length: 9\r\n\r\n{", id)
		return false
	case 3: // fails after the run
		writeRaw(w, http.StatusServiceUnavailable, id, "failed")
	case 4: // fails after the run
		writeRaw(w, http.StatusTooManyRequests, id, "failed")
	case 5: // sends a late refusal of another call first
		notRun("somebody-else")
		writeRaw(w, http.StatusOK, id, "{}")
	case 6: // sends a refusal of another call in place of its answer
		notRun("somebody-else")
	case 7: // is slower than the route's timeout
		time.Sleep(1200 * time.Millisecond)
		writeRaw(w, http.StatusOK, id, "{}")
	case 8: // sends an extra refusal of another call afterwards, while the next one is sent
		writeRaw(w, http.StatusOK, id, "{}")
		time.Sleep(time.Duration(l.intN(3000)) * time.Microsecond)
		notRun("somebody-else")
	case 9: // closes the connection while the next call may be sent
		writeRaw(w, http.StatusOK, id, "{}")
		time.Sleep(time.Duration(l.intN(3000)) * time.Microsecond)
		return false
	default:
		writeRaw(w, http.StatusOK, id, "{}")
	}
	return true
}

// try sends a call and returns its answer, with status 0 if the caller left before.
func (l *ledger) try(ctx context.Context, client *http.Client, d *Daemon, path, key string) answer {
	l.mu.Lock()
	l.tries++
	l.mu.Unlock()
	if l.intN(8) == 0 { // leaves in the middle
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(l.intN(5000))*time.Microsecond)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address()+path, strings.NewReader("{}"))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", key)
	res, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, effect: res.Header.Get("X-Effect"), body: string(body)}
}

// checkTry sends a call, checks that its answer is true and whole, and returns its
// status.
func (l *ledger) checkTry(t *testing.T, client *http.Client, d *Daemon, path, key string) int {
	got := l.try(t.Context(), client, d, path, key)
	if runs := l.runsOf(key); got.effect == "not-run" && runs > 0 {
		t.Errorf("%s was refused as not run after %d runs: %+v", key, runs, got)
	}
	if got.status == http.StatusOK && got.body != "{}" {
		t.Errorf("%s got %+v", key, got)
	}
	return got.status
}

// Guards against calls that ran although their caller was told that they had not, calls
// that must run once and ran twice, and repeats beyond the budget, while upstreams are
// in trouble in all ways at once and callers leave and come back.
func TestPromisesHoldWhileUpstreamsAreInTrouble(t *testing.T) {
	l := newLedger()
	a, b := newRawUpstream(t, l.respond), newRawUpstream(t, l.respond)
	d := startLoggedDaemon(t, a.address, b.address)
	started := time.Now()
	var callers sync.WaitGroup
	for c := range troubleCallers {
		callers.Go(func() {
			client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
			for n := range troubleCalls {
				if c%2 == 0 {
					l.checkTry(t, client, d, "/stock", fmt.Sprint("/stock-", c, "-", n))
					continue
				}
				for range troubleTriesMax {
					if l.checkTry(t, client, d, "/credit", fmt.Sprint("/credit-", c, "-", n)) == http.StatusOK {
						break
					}
				}
			}
		})
	}
	callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, runs := range l.runs {
		if strings.HasPrefix(key, "/credit") && runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	repeats := 0
	for key, n := range l.arrived {
		if strings.HasPrefix(key, "/stock") {
			repeats += n - 1
		}
	}
	// The budget holds one retry at the start, a share of each request, and the grant
	// of internal/retry.
	if allowed := 1 + 0.2*float64(l.tries) + 0.5*time.Since(started).Seconds(); float64(repeats) > allowed {
		t.Errorf("%d repeats, %.0f allowed", repeats, allowed)
	}
	t.Logf("%d calls arrived, %d ran, %d repeats of repeatable calls, in %v", len(l.arrived), len(l.runs), repeats, time.Since(started))
}
