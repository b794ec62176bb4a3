package main

import (
	"fmt"
	"strings"
)

// deployment is a deployment for which costs are computed.
type deployment struct {
	name       string
	daemons    float64
	site       float64 // daemons per site
	upstreams  float64 // engines per site
	requests   float64 // per second and daemon
	workspaces float64
	versions   float64 // per day
	calls      float64 // at-most-once calls per second, over all daemons
	streams    float64 // calls.streams
	horizon    float64 // calls.horizon, seconds
}

const (
	day = 86400.0
	mib = 1 << 20

	recordsPerVersion  = 3        // candidate, verdict and confirmation
	snapshotsPerSecond = 10       // upper bound for load batches, views and versions together
	eventsKept         = 2 * 8192 // in the two rings of the timeline
	prefixesKept       = 1 << 16  // bound of the prefix tables
)

// deployments are the columns of the table, ordered by size.
var deployments = []deployment{
	{"Atlas", 13, 13, 12, 20, 8, 20, 2.6, 1, day},
	{"Indus", 21, 21, 18, 20, 8, 20, 4.2, 1, day},
	{"full size", 440, 63, 214, 30, 23000, 790, 130, 64, day},
}

// role is one row of the table: a cost of one daemon or of the log.
type role struct {
	role, cost, unit, benchmark, mechanism string
	budget                                 float64 // 0: no budget is stated
	value                                  func(m measures, s deployment) float64
}

// upstreamFit interpolates linearly between the results in ns/op of a benchmark
// with 12, 150 and 1500 upstreams.
func upstreamFit(m measures, format string, upstreams float64) float64 {
	at := func(n int) float64 { return m.median(fmt.Sprintf(format, n), "ns/op") }
	if upstreams <= 150 {
		return at(12) + (at(150)-at(12))*(upstreams-12)/(150-12)
	}
	return at(150) + (at(1500)-at(150))*(upstreams-150)/(1500-150)
}

// fleetFits holds the names of the fits over many sites, by unit.
var fleetFits = map[string]string{"B/s": "sent and received bytes a second", "cores": "share of a core"}

// controlFit returns the control traffic of a daemon. For a single site it
// interpolates linearly between measurements with 12, 21 and 60 daemons. For a
// fleet of several sites it uses the fit over the number of sites.
func controlFit(m measures, unit string, s deployment) float64 {
	at := func(n int) float64 { return m.median(fmt.Sprintf("control/daemons=%d/site=%d", n, n), unit) }
	if s.daemons > s.site {
		return m.median(fmt.Sprintf("control/sites of %.0f in a fleet/at=%.0f", s.site, s.daemons), fleetFits[unit])
	}
	if s.site <= 21 {
		return at(12) + (at(21)-at(12))*(s.site-12)/9
	}
	return at(21) + (at(60)-at(21))*(s.site-21)/39
}

// parseFit returns the cost of parsing a configuration. It scales the cost per
// workspace from the benchmark that is closer in size.
func parseFit(m measures, unit string, s deployment) float64 {
	bench := "Parse/workspaces=230"
	if s.workspaces > 10000 {
		bench = "Parse/workspaces=23000"
	}
	return m.median(bench, unit) * s.workspaces
}

// roles are the rows of the table.
var roles = []role{
	{"caller path", "one decision", "µs", "Decision", "rendezvous owners of a prefix level, own dispatches", 0,
		func(m measures, s deployment) float64 {
			return upstreamFit(m, "Decision/upstreams=%d/pieces=64", s.upstreams) / 1e3
		}},
	{"caller path", "decisions", "% of a core", "Decision", "as above", 0, func(m measures, s deployment) float64 {
		return upstreamFit(m, "Decision/upstreams=%d/pieces=64", s.upstreams) * s.requests / 1e7
	}},
	{"placement", "state of prefixes at their bound", "MiB", "State/prefix", "bounded tables of holders, branches and heat", 256,
		func(m measures, _ deployment) float64 {
			return m.median("State/prefix", "B/prefix") * prefixesKept / mib
		}},
	{"placement", "state of upstreams", "MiB", "State/upstream", "one entry an engine of the site", 256,
		func(m measures, s deployment) float64 {
			return m.median("State/upstream", "B/upstream") * s.upstreams / mib
		}},
	{"placement", "taking in snapshots", "% of a core", "Snapshot", "immutable snapshots", 1.4, func(m measures, s deployment) float64 {
		return upstreamFit(m, "Snapshot/upstreams=%d", s.upstreams) * snapshotsPerSecond / 1e7
	}},
	{"limits", "state of workspaces", "MiB", "State/workspace", "one bucket a workspace in use", 256,
		func(m measures, s deployment) float64 {
			return m.median("State/workspace", "B/workspace") * s.workspaces / mib
		}},
	{"membership, loads, limits", "control traffic", "B/s", "control", "probes of neighbours, broadcast trees, owners of totals", 8192,
		func(m measures, s deployment) float64 { return controlFit(m, "B/s", s) }},
	{"membership, loads, limits", "processor", "% of a core", "control", "as above", 1.4,
		func(m measures, s deployment) float64 { return 100 * controlFit(m, "cores", s) }},
	{"configuration", "version in memory", "MiB", "Parse", "one set, kept parsed", 256,
		func(m measures, s deployment) float64 { return parseFit(m, "B/workspace", s) / mib }},
	{"configuration", "reading versions", "% of a core", "Parse", "decoded in chunks, once a version", 1.4,
		func(m measures, s deployment) float64 { return parseFit(m, "ns/workspace", s) * s.versions / day / 1e7 }},
	{"configuration", "candidates from the log", "B/s", "Payload", "difference to the parent, compressed", 8192, func(m measures, s deployment) float64 {
		return m.median("Payload/workspaces=23000", "log-B/edit") * s.versions / day
	}},
	{"configuration", "appends of all daemons", "a second", "protocol", "candidate, verdict, statement", 300,
		func(_ measures, s deployment) float64 { return recordsPerVersion * s.versions / day }},
	{"calls", "bytes to a reader of a stream", "B/s", "Record", "streams by hash of the key", 8192,
		func(m measures, s deployment) float64 {
			return m.median("Record/calls=8", "log-B/call") * s.calls / s.streams
		}},
	{"calls", "memory of a reader of a stream", "MiB", "Memory", "one entry a key within the horizon", 256, func(m measures, s deployment) float64 {
		return m.median("Memory/calls=100000", "B/call") * s.calls * s.horizon / s.streams / mib
	}},
	{"calls", "retained in the log", "GiB", "Record", "records within the horizon", 0, func(m measures, s deployment) float64 {
		return m.median("Record/calls=8", "log-B/call") * s.calls * s.horizon / mib / 1024
	}},
	{"leases", "appends of all daemons", "a second", "Hour", "one lease record for all groups of a holder", 300,
		func(m measures, s deployment) float64 {
			return m.median("Hour/groups=1", "appends/group-hour") / 3600 * s.daemons / s.site
		}},
	{"orders", "processor of the holder", "% of a core", "Tick", "desired against actual state, ten times a second", 1.4,
		func(m measures, s deployment) float64 {
			return m.median("Tick/engines=120", "ns/engine-tick") * s.upstreams * 10 / 1e7
		}},
	{"time line", "memory", "MiB", "Recorder", "two bounded rings", 256,
		func(m measures, _ deployment) float64 { return m.median("Recorder", "B/event") * eventsKept / mib }},
	{"time line", "one event", "µs", "Recorder", "one lock, apart from control", 0,
		func(m measures, _ deployment) float64 { return m.median("Recorder", "ns/op") / 1e3 }},
}

// rolesTable returns the table of the cost of each role in each deployment. The
// headroom is that of the last deployment.
func rolesTable(m measures) string {
	var b strings.Builder
	b.WriteString("| role | cost of one daemon | unit | Atlas | Indus | full size | budget | room at full size | slope | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range roles {
		fmt.Fprintf(&b, "| %s | %s | %s |", r.role, r.cost, r.unit)
		var last float64
		for _, s := range deployments {
			last = r.value(m, s)
			fmt.Fprintf(&b, " %s |", number(last))
		}
		budget, headroom := "none stated", ""
		if r.budget > 0 {
			budget, headroom = number(r.budget), number(r.budget-last)
		}
		fmt.Fprintf(&b, " %s | %s | %s | %s |\n", budget, headroom, r.benchmark, r.mechanism)
	}
	return b.String()
}
