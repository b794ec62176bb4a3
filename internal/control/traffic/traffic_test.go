package traffic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
)

func sampleConfig() *config.Config {
	return &config.Config{
		Models: map[string]*config.Model{"notes": {Name: "notes"}},
		Upstreams: map[string]*config.Upstream{
			"e": {Kind: config.KindEngine, Models: []string{"notes"}},
			"s": {Kind: config.KindService, Service: "booking"},
		},
		Routes: map[string]*config.Route{"book": {Name: "book", Path: "/bookings", Methods: []string{"POST"}, Service: "booking"}},
		Workspaces: map[string]*config.Workspace{
			"shop": {Name: "shop", KeySHA256: []string{"k1"}, RequestsPerSecond: 100, TokensPerMinute: 1e6},
			"idle": {Name: "idle", KeySHA256: []string{"k2"}},
		},
	}
}

// recordSample records 60 model requests and 60 bookings of workspace shop, and
// one refused request of workspace idle.
func recordSample(t *Traffic) {
	c := sampleConfig()
	attempts := []*pipe.Attempt{{PromptTokens: 900, OutputTokens: 100}}
	for range 60 {
		t.Response(&pipe.Exchange{Workspace: c.Workspaces["shop"], Model: c.Models["notes"], Attempts: attempts})
		t.Response(&pipe.Exchange{Workspace: c.Workspaces["shop"], Route: c.Routes["book"], Method: "POST", Attempts: []*pipe.Attempt{{}}})
	}
	t.Response(&pipe.Exchange{Workspace: c.Workspaces["idle"], Model: c.Models["notes"]}) // refused, so there is no attempt
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(*config.Config)
		want string // "key: part of the message"; empty: no problem
	}{
		{"no change", func(*config.Config) {}, ""},
		{"idle workspace removed", func(c *config.Config) { delete(c.Workspaces, "idle") }, ""},
		{"route renamed", func(c *config.Config) {
			c.Routes = map[string]*config.Route{"other": {Name: "other", Path: "/bookings", Methods: []string{"GET", "POST"}, Service: "booking"}}
		}, ""},
		{"limit lowered above use", func(c *config.Config) { c.Workspaces["shop"].RequestsPerSecond = 10 }, ""},
		{"workspace removed", func(c *config.Config) { delete(c.Workspaces, "shop") }, "workspaces.shop: would be refused"},
		{"model removed", func(c *config.Config) { delete(c.Models, "notes") }, "models.notes: would be refused"},
		{"model not allowed", func(c *config.Config) { c.Workspaces["shop"].Models = []string{"x"} }, `workspaces.shop.models: model "notes"`},
		{"last engine leaves", func(c *config.Config) { c.Upstreams["e"].Leaving = true }, "models.notes: no upstream"},
		{"route removed", func(c *config.Config) { delete(c.Routes, "book") }, "routes: POST /bookings was used"},
		{"method removed", func(c *config.Config) { c.Routes["book"].Methods = []string{"GET"} }, "routes: no route"},
		{"route not allowed", func(c *config.Config) { c.Workspaces["shop"].Routes = []string{"x"} }, `workspaces.shop.routes: route "book" is not allowed`},
		{"route becomes repeatable", func(c *config.Config) { c.Routes["book"].Repeatable = true }, "routes.book.repeatable: could run twice"},
		{"last replica leaves", func(c *config.Config) { c.Upstreams["s"].Leaving = true }, "routes.book.service: no upstream"},
		{"all keys change", func(c *config.Config) { c.Workspaces["shop"].KeySHA256 = []string{"k3"} }, "workspaces.shop.key_sha256: none of the workspace's current keys"},
		{"request limit below use", func(c *config.Config) { c.Workspaces["shop"].RequestsPerSecond = 5 }, "workspaces.shop.requests_per_second: about 6.0 requests"},
		{"token limit below use", func(c *config.Config) { c.Workspaces["shop"].TokensPerMinute = 1e5 }, "workspaces.shop.tokens_per_minute: about 180000 tokens"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			traffic := New(func() int { return 3 }, func() time.Time { return now })
			recordSample(traffic)
			after := sampleConfig()
			c.edit(after)
			got := traffic.Check(sampleConfig(), after)
			key, message, _ := strings.Cut(c.want, ": ")
			if (len(got) == 0) != (c.want == "") {
				t.Fatalf("got %v, want %q", got, c.want)
			}
			if c.want != "" && (got[0].Key != key || !strings.Contains(got[0].Message, message)) {
				t.Fatalf("got %v, want %q", got, c.want)
			}
			now = now.Add(recentPeriod + time.Second)
			if old := traffic.Check(sampleConfig(), after); len(old) != 0 {
				t.Fatalf("requests are still counted after recentPeriod: %v", old)
			}
		})
	}
}

func TestKindsAreBounded(t *testing.T) {
	traffic := New(func() int { return 1 }, nil)
	for i := range maxKinds + 100 {
		traffic.add(requestKind{workspace: fmt.Sprint(i)}, 0)
	}
	if n := traffic.counts.Len(); n != maxKinds {
		t.Fatalf("%d kinds of requests are kept, want %d", n, maxKinds)
	}
}
