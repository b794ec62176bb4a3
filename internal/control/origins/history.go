package origins

import (
	"fmt"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
)

// registryMaxAge is the age of the proof that the upstreams are the newest ones at
// which all of them are still taken to be known. It is longer than the time
// between two reads.
const registryMaxAge = 6 * time.Second

// history tells which builds upstreams ran lately.
type history struct {
	watcher *catalog.Watcher
	proof   *freshness.Proof // of the upstreams
	saved   *savedBuilds
}

// buildsKnown is what a daemon knows of the builds of several services.
type buildsKnown struct {
	only    catalog.Build // the only one; 0: there are none or several
	several bool
	seen    bool  // several, all of them seen by this daemon
	err     error // why some may not be known
}

// sure returns the only build if it is certain that there was no other one.
func (k buildsKnown) sure() catalog.Build {
	if k.err != nil {
		return 0
	}
	return k.only
}

// builds returns what is known of the builds that upstreams of the services ran
// within the last window.
func (h history) builds(services []string, window time.Duration) buildsKnown {
	var k buildsKnown
	if !h.proof.Within(registryMaxAge, freshness.Now()) {
		k.err = fmt.Errorf("the upstreams were last read more than %v ago", registryMaxAge)
	}
	seen := 0
	for _, service := range services {
		builds, all := h.watcher.BuildsOf(service, window)
		seen += len(builds)
		if !all && !h.saved.add(builds, service) {
			k.err = fmt.Errorf("the upstreams of service %s are known for less than %v, and no earlier ones were loaded", service, window)
		}
		for b := range builds {
			k.several = k.several || (k.only != 0 && k.only != b)
			k.only = b
		}
	}
	k.seen = seen > 1
	if k.several {
		k.only, k.err = 0, fmt.Errorf("upstreams ran several versions in the last %v", window)
	}
	return k
}

// ambiguous returns the builds that are not the only one of a route with resumable
// streams, by what daemons that have just started would know.
func (h history) ambiguous(now time.Time) map[catalog.Build]bool {
	ambiguous := make(map[catalog.Build]bool)
	snap := h.watcher.Load()
	if snap.Config == nil {
		return ambiguous
	}
	ofService := make(map[string][]catalog.Build)
	for _, r := range snap.Config.ResumableRoutes() {
		var builds []catalog.Build
		for _, service := range r.Services() {
			if _, known := ofService[service]; !known {
				ofService[service] = h.possible(service, now)
			}
			builds = append(builds, ofService[service]...)
		}
		if len(builds) < 2 {
			continue
		}
		for _, b := range builds {
			ambiguous[b] = true
		}
	}
	return ambiguous
}

// possible returns the builds that may have begun a stream of a service as far as daemons
// know that have just started: those in the store, and those that upstreams run.
func (h history) possible(service string, now time.Time) []catalog.Build {
	builds, _ := h.watcher.BuildsOf(service, lifetime)
	h.saved.addStored(builds, service, now)
	out := make([]catalog.Build, 0, len(builds))
	for b := range builds {
		out = append(out, b)
	}
	return out
}
