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
