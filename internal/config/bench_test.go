package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// benchFiles returns a base with n workspaces and an overlay.
func benchFiles(n int) []File {
	var b strings.Builder
	b.WriteString("schema = 1\n[models.m]\nweights = \"w1\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[workspaces.w%d]\nkey_sha256 = [\"%064x\"]\nrequests_per_second = 20.0\n", i, i+1)
	}
	overlay := "schema = 1\nsite = \"s\"\ndata_centres = [\"dc-0\"]\n" +
		"[upstreams.e0]\nkind = \"engine\"\naddress = \"127.0.0.1:1\"\ndata_centre = \"dc-0\"\nmodels = [\"m\"]\n"
	return []File{{Name: "base.toml", Data: []byte(b.String())}, {Name: "s.toml", Data: []byte(overlay)}}
}

// BenchmarkParse measures the cost of a configuration version per workspace: the
// time to parse and validate it, its memory and the size of its files.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{230, 2300, 23000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			files := benchFiles(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var retained []*Set
			for b.Loop() {
				set, err := Parse(files)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := set.Site("s"); err != nil {
					b.Fatal(err)
				}
				retained = append(retained[:0], set)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
			b.ReportMetric(float64(len(files[0].Data))/float64(n), "file-B/workspace")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/workspace")
			runtime.KeepAlive(retained)
		})
	}
}
