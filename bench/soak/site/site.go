// Package site describes the services, routes and figures of a soak's installation.
package site

import (
	"fmt"
	"time"

	"currantpulley/platform/standin/names"
)

// Host is the host of all routes.
const Host = "soak.example"

// Names of services.
const (
	Plain  = "plain"
	Engine = "engine"
)

// Model is the model of the engines, with its only weights version.
const (
	Model   = "m"
	Weights = 1
)

// Sizes of the installation besides its daemons.
const (
	PlainUpstreams = 3
	Engines        = 4
	Upstreams      = PlainUpstreams + Engines
	PlainSlots     = 4
	EngineSlots    = 10
)

// Figures of the daemons' settings that the checks use.
const (
	MemoryMB     = 206
	StopGrace    = 4 * time.Second
	RetryRatio   = 0.2
	RetryExtra   = 30
	RetryWindow  = 10 * time.Second
	Recovery     = 12 * time.Second // from the last fault until all daemons serve
	AnswerSlack  = time.Second      // beyond a call's limit
	EntryTimeout = 3600 * time.Millisecond
	Heartbeat    = 1200 * time.Millisecond
	Drain        = 2 * time.Second // for which an upstream serves at least after it has announced that it leaves
	LeaveTime    = 4 * time.Second // for which it serves if it doesn't announce it
)

// Route is a route as callers use it.
type Route struct {
	Name    string
	Service string
	Kind    string
	Prefix  string
	Timeout time.Duration
	// Resumable: a stream that may go on at another upstream
	Resumable bool
}

// Once reports whether a request of the route may run once at most.
func (r Route) Once() bool {
	return r.Kind == names.KindUnsafe || r.Stream() && !r.Resumable
}

// Stream reports whether the route's answers are streams of events.
func (r Route) Stream() bool { return r.Kind == names.KindStreaming }

const (
	plainTimeout  = 1500 * time.Millisecond
	streamTimeout = 5 * time.Second
)

// Routes of the installation.
var (
	RouteOnce   = Route{Name: "once", Service: Plain, Kind: names.KindUnsafe, Prefix: "/once/", Timeout: plainTimeout}
	RouteSafe   = Route{Name: "safe", Service: Plain, Kind: names.KindSafe, Prefix: "/safe/", Timeout: plainTimeout}
	RouteStream = Route{Name: "stream", Service: Engine, Kind: names.KindStreaming, Prefix: "/stream/", Timeout: streamTimeout, Resumable: true}
	RouteTalk   = Route{Name: "talk", Service: Engine, Kind: names.KindStreaming, Prefix: "/talk/", Timeout: streamTimeout}
	Routes      = []Route{RouteOnce, RouteSafe, RouteStream, RouteTalk}
)

// Workspace is the only workspace with a quota: that of every fourth caller.
var Workspace = names.Workspace{Name: "quota", Keys: []string{"quota-key"}, Rate: 20, Burst: 20}

// HasQuota reports whether the caller with a number belongs to Workspace.
func HasQuota(caller int) bool { return caller%4 == 3 }

// What may run beyond the quota in a window of time.
const (
	QuotaWindow  = 8 * time.Second
	QuotaOverage = 0.1
	QuotaSlack   = 40 // requests
)

// MaxAttempts is the number of upstreams to which one call may be sent.
const MaxAttempts = 2

// Config returns a version of the operators' configuration. Each has another route that
// no caller uses.
func Config(version int) names.Config {
	c := names.Config{Version: version, Workspaces: []names.Workspace{Workspace}}
	for _, r := range Routes {
		c.Routes = append(c.Routes, names.Route{
			Name: r.Name, Host: Host, Prefix: r.Prefix, Kind: r.Kind, Service: r.Service, TimeoutMS: int(r.Timeout.Milliseconds()),
			LatencyMS: int(r.Timeout.Milliseconds()) / 4, MaxAttempts: MaxAttempts, Prompted: r.Stream(), Resumable: r.Resumable, Public: true,
		})
	}
	unused := c.Routes[0]
	unused.Name = fmt.Sprint("unused-", version)
	unused.Prefix = "/" + unused.Name + "/"
	c.Routes = append(c.Routes, unused)
	engine := &names.Engine{Slots: EngineSlots, CacheTokens: 100_000, Models: []names.EngineModel{{Name: Model}}}
	c.Services = []names.Service{
		{Name: Plain, HealthPath: names.PathHealth},
		{Name: Engine, HealthPath: names.PathHealth, Engine: engine},
	}
	return c
}

// ServiceOf returns the service of the upstream with a number.
func ServiceOf(upstream int) string {
	if upstream < PlainUpstreams {
		return Plain
	}
	return Engine
}

// SoftwareOf returns the software version of the upstream with a number. Engines of
// two versions serve side by side.
func SoftwareOf(upstream int) string {
	if ServiceOf(upstream) == Engine && upstream%2 == 1 {
		return "v2"
	}
	return "v1"
}
