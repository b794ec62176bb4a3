package publish

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkPayload measures the size of a candidate's payload in the log by the
// number of workspaces: the whole content, and the delta against its parent when
// one limit changes.
func BenchmarkPayload(b *testing.B) {
	for _, n := range []int{230, 2300, 23000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var buf bytes.Buffer
			for i := range n {
				fmt.Fprintf(&buf, "[workspaces.w%d]\nkey_sha256 = [\"%064x\"]\nrequests_per_second = 20.0\n", i, i*2654435761)
			}
			parent := buf.Bytes()
			edited := bytes.Replace(parent, []byte("= 20.0"), []byte("= 21.0"), 1)
			var whole, delta int
			for b.Loop() {
				full, err := encodePayload(parent, nil)
				if err != nil {
					b.Fatal(err)
				}
				change, err := encodePayload(edited, &fullRecord{offset: 1, data: compress(parent)})
				if err != nil {
					b.Fatal(err)
				}
				whole, delta = proto.Size(full), proto.Size(change)
			}
			b.ReportMetric(float64(whole)/float64(n), "log-B/workspace")
			b.ReportMetric(float64(delta), "log-B/edit")
		})
	}
}
