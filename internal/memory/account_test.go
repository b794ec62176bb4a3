package memory

import (
	"bytes"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const limit = 1 << 20

// caller is a caller whose holding may be ended.
type caller struct {
	*Holding
	ended []Reason
}

func open(a *Account, now time.Time) *caller {
	c := &caller{}
	c.Holding = a.Open(nil, now, func(r Reason, _ State) { c.ended = append(c.ended, r) })
	return c
}

// Guards against large bodies that stopped and keep the others out: they end first, the
// largest of them before the others, and one that goes on is kept.
func TestCallersThatStoppedEndFirst(t *testing.T) {
	a, now := New(limit), time.Unix(1000, 0)
	small, large, alive := open(a, now), open(a, now), open(a, now)
	small.Grow(100<<10, now)
	large.Grow(300<<10, now)
	alive.Grow(280<<10, now)
	now = now.Add(stalledAfter)
	alive.Progress(now)
	if next := open(a, now); next.Grow(200<<10, now) || !slices.Equal(large.ended, []Reason{Stalled}) {
		t.Errorf("the largest that stopped was ended for %v", large.ended)
	}
	if small.ended != nil || alive.ended != nil {
		t.Errorf("ended: small %v, alive %v", small.ended, alive.ended)
	}
}

// Guards against ordinary callers that are kept out by large bodies: these leave a reserve,
// and the largest of them ends when it is used up.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	a, now := New(limit), time.Unix(1000, 0)
	for open(a, now).Grow(limit/10, now) {
	}
	large := a.Used()
	if large > a.room(smallBytes+1) {
		t.Fatalf("large ones hold %d of %d", large, limit)
	}
	for ; large+smallBytes <= limit; large += smallBytes {
		if !open(a, now).Grow(smallBytes, now) {
			t.Fatalf("a small one got none of the reserve, %d are used", large)
		}
	}
	if open(a, now.Add(scanPause)).Grow(smallBytes, now.Add(scanPause)) || a.Ended()[OverShare] != 1 {
		t.Errorf("with the reserve used up ended: %v", a.Ended())
	}
}

// Guards against connections that wait for their next request being closed for the sake of
// a large body, and requests that run being cut.
func TestIdleAndRunningCallersAreKept(t *testing.T) {
	a, now := New(limit), time.Unix(1000, 0)
	idle, running, slow := open(a, now), open(a, now), open(a, now)
	idle.Grow(smallBytes, now)
	running.Grow(limit/2, now)
	running.Enter(Running, now)
	slow.Grow(limit/8, now)
	slow.Enter(Reading, now)
	now = now.Add(slowReaderAfter - time.Millisecond)
	large := open(a, now)
	if large.Grow(limit/2, now) || idle.ended != nil || running.ended != nil || slow.ended != nil {
		t.Errorf("ended: idle %v, running %v, reader %v", idle.ended, running.ended, slow.ended)
	}
	now = now.Add(scanPause)
	if large.Grow(limit/2, now) || !slices.Equal(slow.ended, []Reason{Stalled}) || running.ended != nil {
		t.Errorf("ended: running %v, slow reader %v", running.ended, slow.ended)
	}
}

// Guards against a crowd that waits for room and ends far more callers than it needs,
// because those ended before have not given back yet.
func TestNoMoreCallersEndThanAreNeeded(t *testing.T) {
	a, now := New(limit), time.Unix(1000, 0)
	for range 5 {
		open(a, now).Grow(130<<10, now)
	}
	now = now.Add(stalledAfter)
	crowd := make([]*caller, 40)
	for i := range crowd {
		crowd[i] = open(a, now)
	}
	for range 3 {
		for _, c := range crowd {
			c.Grow(100<<10, now)
		}
		now = now.Add(scanPause)
	}
	if n := a.Ended()[Stalled]; n != 1 {
		t.Errorf("ended %d callers for room that one has", n)
	}
	now = now.Add(releaseTime)
	if crowd[0].Grow(100<<10, now); a.Ended()[Stalled] != 2 {
		t.Errorf("ended %d callers, the first of which kept what it held", a.Ended()[Stalled])
	}
}

// Guards against connections that send nothing keeping new ones out.
func TestNewConnectionsEndTheQuietest(t *testing.T) {
	a, now := New(0), time.Unix(1000, 0)
	quiet, later := open(a, now), open(a, now.Add(time.Millisecond))
	if a.EndStopped(nil, now.Add(stalledAfter-1)) {
		t.Error("ended one that may go on")
	}
	if a.EndStopped("another", now.Add(2*stalledAfter)) {
		t.Error("ended one of another owner")
	}
	if !a.EndStopped(nil, now.Add(2*stalledAfter)) || quiet.ended == nil || later.ended != nil {
		t.Errorf("ended: %v, %v", quiet.ended, later.ended)
	}
}

// The account never exceeds its limit and ends at zero, in any order of calls.
func TestAccountIsBounded(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		a, now := New(limit), time.Unix(1000, 0)
		callers := []*caller{}
		for range 2000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			if len(callers) == 0 || r.IntN(4) == 0 {
				callers = append(callers, open(a, now))
			}
			i := r.IntN(len(callers))
			switch c := callers[i]; r.IntN(6) {
			case 0:
				c.Close()
				callers = slices.Delete(callers, i, i+1)
			case 1:
				c.Shrink(r.Int64N(1 << 12))
			case 2:
				c.Enter(State(r.IntN(3)), now)
			default:
				c.Grow(r.Int64N(limit/4), now)
			}
			if used := a.Used(); used < 0 || used > limit {
				t.Fatalf("seed %d: %d of %d bytes", seed, used, limit)
			}
		}
		for _, c := range callers {
			c.Close()
		}
		if a.Used() != 0 {
			t.Errorf("seed %d: %d bytes after all were closed", seed, a.Used())
		}
	}
}

// An answer is read ahead up to the limit, or as far as there is room, without a byte lost.
func TestReadAhead(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, freeBuffer, freeBuffer + 1, 100 << 10, 300 << 10} {
		for _, room := range []int64{0, 20 << 10, 1 << 20} {
			want := bytes.Repeat([]byte("a"), size)
			r := bytes.NewReader(want)
			left := room
			data, whole, err := ReadAhead(r, 256<<10, func(n int64) bool {
				left -= n
				return left >= 0
			})
			rest, _ := io.ReadAll(r)
			if err != nil || !bytes.Equal(append(data, rest...), want) || whole && len(rest) > 0 {
				t.Errorf("size %d, room %d: %d bytes, %d left, whole %v, %v", size, room, len(data), len(rest), whole, err)
			}
			if size < min(freeBuffer, 256<<10) && !whole {
				t.Errorf("size %d, room %d: not whole", size, room)
			}
		}
	}
}
