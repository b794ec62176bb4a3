package origins

import (
	"fmt"
	"testing"
)

// BenchmarkRecord measures the bytes that the daemon of a stream exchanges with its
// owners, with one stream in each call and with ten.
func BenchmarkRecord(b *testing.B) {
	for _, streams := range []int{1, 10} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			nodes := startNodes(b, ownersWritten+1)
			traffic := nodes[0].opts.Pool.Traffic()
			nodes[0].recordAndWait(b, "warm-up", 1)
			before := traffic.Sent() + traffic.Received()
			calls := 0
			for b.Loop() {
				nodes[0].recordAndWait(b, fmt.Sprint("s-", calls), streams)
				calls++
			}
			bytes := traffic.Sent() + traffic.Received() - before
			b.ReportMetric(float64(bytes)/float64(calls*streams), "B/stream")
		})
	}
}

// recordAndWait records streams in one batch and waits until it was sent.
func (n *node) recordAndWait(b *testing.B, name string, streams int) {
	b.Helper()
	for i := range streams {
		n.RecordBuild(fmt.Sprint(name, "-", i), 1)
	}
	requests := n.requestsFor(n.takePending())
	for vm, request := range requests {
		n.send(b.Context(), vm, request)
	}
}
