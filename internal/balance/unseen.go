package balance

import (
	"maps"
	"time"
)

const (
	// unseenShare is the part of the time between two reports of another daemon by which the
	// scores of upstreams are spread. The daemons know of the same work, and each sees only
	// later what the others sent meanwhile; without a spread all send to the same upstream.
	unseenShare = 1.0 / 4
	// reportIntervalMax bounds that time: daemons that were out of touch for longer are
	// taken for gone.
	reportIntervalMax = 2 * time.Second
	// reportIntervalSmoothing is the weight of a new interval in the mean.
	reportIntervalSmoothing = 0.1
)

// reports knows how often other daemons report their work.
type reports struct {
	last     map[string]time.Time // by VM
	interval time.Duration        // between two reports of one daemon, on average
}

// add records a report of the daemon on vm.
func (r *reports) add(vm string, now time.Time) {
	last, known := r.last[vm]
	r.last[vm] = now
	since := now.Sub(last)
	if !known || since <= 0 || since > reportIntervalMax {
		r.forget(now)
		return
	}
	if r.interval == 0 {
		r.interval = since
	}
	r.interval += scale(since-r.interval, reportIntervalSmoothing)
}

// forget forgets the daemons that no longer report.
func (r *reports) forget(now time.Time) {
	maps.DeleteFunc(r.last, func(_ string, at time.Time) bool { return now.Sub(at) > reportIntervalMax })
}

// unseenWork returns a random part of the wait that requests may cause which other daemons
// sent since their last reports. It is 0 without recent reports.
func (b *Balancer) unseenWork(now time.Time) time.Duration {
	if !b.opts.UsePaces || b.reports.interval == 0 || now.Sub(b.peerReportAt) > peerReportMaxAge {
		return 0
	}
	return scale(b.reports.interval, unseenShare*b.random())
}
