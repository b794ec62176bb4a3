package calls

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantpulley/internal/control/calls/callspb"
)

const outcomeBodyBytes = 200 // bytes of an outcome's body

// testEntries returns an intent and an outcome for each of n keys.
func testEntries(n int) []*callspb.Entry {
	c := &Calls{Options: Options{Self: "vm-atlas-cas-07"}, incarnation: 1 << 60}
	var out []*callspb.Entry
	for i := range n {
		intent := c.newIntent(keyDigest("workspace", fmt.Sprint("key-", i)), bodyHash([]byte("body")), 24*time.Hour)
		out = append(out, intent, &callspb.Entry{
			Kind: callspb.Kind_KIND_OUTCOME, Key: intent.Key, Nonce: intent.Nonce, HorizonMs: intent.HorizonMs,
			Outcome: &callspb.Outcome{Result: callspb.Result_RESULT_ANSWERED, Status: 200, Body: make([]byte, outcomeBodyBytes)},
		})
	}
	return out
}

// BenchmarkRecord measures the log bytes and the encoding and decoding time per
// call for different numbers of calls per record.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1, 2, 8, 64} {
		b.Run(fmt.Sprintf("calls=%d", n), func(b *testing.B) {
			batch := &callspb.Batch{Entries: testEntries(n)}
			size := 0
			for b.Loop() {
				record, err := encode(batch)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decode(record); err != nil {
					b.Fatal(err)
				}
				size = len(record)
			}
			b.ReportMetric(float64(size)/float64(n), "log-B/call")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/call")
		})
	}
}

// BenchmarkMemory measures the heap memory that a reader holds per call.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("calls=%d", n), func(b *testing.B) {
			var bytesPerCall float64
			for b.Loop() {
				bytesPerCall = memoryPerCall(b, n)
			}
			b.ReportMetric(bytesPerCall, "B/call")
		})
	}
}

func memoryPerCall(b *testing.B, n int) float64 {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := newMachine()
	m.advanceClock(time.UnixMilli(1_700_000_000_000))
	for i := range n / 100 {
		entries := testEntries(100)
		for j, e := range entries {
			key := keyDigest("w", fmt.Sprint(i, "-", j/2))
			e.Key = key[:]
		}
		record, err := encode(&callspb.Batch{Entries: entries})
		if err != nil {
			b.Fatal(err)
		}
		batch, err := decode(record)
		if err != nil {
			b.Fatal(err)
		}
		for _, e := range batch.Entries {
			m.apply(e)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerCall := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	if len(m.keys) != n {
		b.Fatalf("the machine holds %d keys, want %d", len(m.keys), n)
	}
	return bytesPerCall
}
