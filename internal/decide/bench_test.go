package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
)

// decideOnce runs a request through limits, classification, admission, its pick
// and the end of its attempt.
func decideOnce(b *testing.B, s *harness, x *pipe.Exchange) {
	if err := s.Take(x); err != nil {
		b.Fatal(err)
	}
	if _, err := s.admit(x); err != nil {
		b.Fatal(err)
	}
	a, err := s.startAttempt(x)
	if err != nil {
		b.Fatal(err)
	}
	s.finishAttempt(a, time.Millisecond, x.Prompt.Tokens-10)
	s.Settle(x)
	s.Leave(x)
}

// BenchmarkDecision measures one complete decision, including what is learned from
// the answer.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{12, 150, 1500} {
		for _, n := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("upstreams=%d/pieces=%d", upstreams, n), func(b *testing.B) {
				s := newHarness(upstreams, 13)
				var prompts []*prompt.Prompt
				for i := range 64 {
					prompts = append(prompts, s.exchange("w", pieces(fmt.Sprintf("p%d", i), n)).Prompt)
				}
				x := s.exchange("w", nil)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					next := *x
					next.Prompt = prompts[i%len(prompts)]
					next.Deadline = s.now.Add(time.Hour)
					decideOnce(b, s, &next)
				}
			})
		}
	}
}

// BenchmarkSnapshot measures applying a new snapshot. Each batch of load reports
// produces one.
func BenchmarkSnapshot(b *testing.B) {
	for _, upstreams := range []int{12, 150, 1500} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s := newHarness(upstreams, 13)
			b.ReportAllocs()
			for b.Loop() {
				next := *s.snap
				next.BuiltAt = next.BuiltAt.Add(time.Millisecond)
				s.snap = &next
				s.syncSnapshot(nil, s.now)
			}
		})
	}
}

// heapGrowth returns the growth of the heap in bytes while f runs. The result of f
// stays reachable, so its memory is included.
func heapGrowth(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkState measures the bytes of state per upstream, prefix and workspace.
func BenchmarkState(b *testing.B) {
	const many = 1500
	b.Run("upstream", func(b *testing.B) {
		for b.Loop() {
			s := newHarness(many, 13)
			b.ReportMetric(heapGrowth(func() any {
				s.syncSnapshot(s.snap, s.now)
				return s
			})/many, "B/upstream")
		}
	})
	b.Run("prefix", func(b *testing.B) {
		for b.Loop() {
			s := newHarness(12, 13)
			s.syncSnapshot(s.snap, s.now)
			var prompts []*pipe.Exchange
			for i := range many {
				prompts = append(prompts, s.exchange("w", pieces(fmt.Sprintf("p%d", i), 1)))
			}
			b.ReportMetric(heapGrowth(func() any {
				for _, x := range prompts {
					x.Deadline = s.now.Add(time.Hour)
					decideOnce(b, s, x)
					x.Picker, x.Attempts = nil, nil
				}
				return []any{s, prompts}
			})/many, "B/prefix")
		}
	})
	b.Run("workspace", func(b *testing.B) {
		for b.Loop() {
			s := newHarness(12, 13)
			s.syncSnapshot(s.snap, s.now)
			var prompts []*pipe.Exchange
			for i := range many {
				x := s.exchange(fmt.Sprintf("w%d", i), nil)
				x.Workspace.RequestsPerSecond, x.Workspace.TokensPerMinute = 10, 1e6
				prompts = append(prompts, x)
			}
			b.ReportMetric(heapGrowth(func() any {
				for _, x := range prompts {
					x.Deadline = s.now.Add(time.Hour)
					decideOnce(b, s, x)
					x.Picker, x.Attempts = nil, nil
				}
				return []any{s, prompts}
			})/many, "B/workspace")
		}
	})
}
