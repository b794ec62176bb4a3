package scenario

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantpulley/bench/caller"
	"currantpulley/bench/measure"
	"currantpulley/bench/workload"
	"currantpulley/internal/refusal"
)

// Figures are what a run is judged by. Times are in milliseconds, from the
// time a request was due. Unless said otherwise they are of the requests of
// the counted phases.
type Figures struct {
	Scenario      string   `json:"scenario"`
	Policy        string   `json:"policy"`
	Seed          uint64   `json:"seed"`
	Requests      int      `json:"requests"`
	OK            int      `json:"ok"`
	Refused       int      `json:"refused"`
	Errors        int      `json:"errors"` // after the warm-up
	HitRate       float64  `json:"hit_rate"`
	IdealHitRate  float64  `json:"ideal_hit_rate"`
	WastedShare   float64  `json:"wasted_share"`
	TTFTP50       float64  `json:"ttft_p50_ms"`
	TTFTP99       float64  `json:"ttft_p99_ms"`
	ShortTTFTP99  float64  `json:"short_ttft_p99_ms"`
	InDeadline    float64  `json:"in_deadline_share"`
	Violations    int      `json:"violations"` // of the whole run
	Site          string   `json:"site"`
	IdealTTFTP99  float64  `json:"ideal_ttft_p99_ms"` // pooled cache, no queue
	Load          float64  `json:"load"`              // share of capacity
	CapacityRPS   float64  `json:"capacity_rps"`
	Unfinished    int      `json:"unfinished"`       // no whole answer when the run ended
	Expired       int      `json:"expired"`          // of the errors, given up by the daemon after the deadline
	Severed       int      `json:"severed"`          // ended with the daemon's process
	CPUShare      float64  `json:"cpu_share"`        // of the machine, all processes
	OwnCPUShare   float64  `json:"own_cpu_share"`    // of the machine, this process
	SendLateP99   float64  `json:"send_late_p99_ms"` // how late the bench itself sent
	WallSeconds   float64  `json:"wall_s"`
	FirstProblems []string `json:"first_problems,omitempty"`

	HitRateBefore   float64        `json:"hit_rate_before,omitempty"`
	HitRateAfter    float64        `json:"hit_rate_after,omitempty"`
	TTFTP99Before   float64        `json:"ttft_p99_before_ms,omitempty"`
	TTFTRatio       float64        `json:"ttft_p99_ratio,omitempty"` // to before
	ShortP99Alone   float64        `json:"short_ttft_p99_alone_ms,omitempty"`
	ShortRatio      float64        `json:"short_ttft_p99_ratio,omitempty"` // to alone
	LongTTFTMax     float64        `json:"long_ttft_max_ms,omitempty"`
	RefusedBy       map[string]int `json:"refused_by,omitempty"` // code
	LongStarved     int            `json:"long_starved"`         // admitted, and no token within starvedTimes deadlines
	WorkShare       float64        `json:"work_share,omitempty"` // first tokens per second at the crest over capacity
	AdmittedP99     float64        `json:"admitted_p99_of_deadline,omitempty"`
	RecoverySeconds float64        `json:"recovery_s,omitempty"` // after the crest until the deadlines are met again
}

const (
	maxProblems      = 5
	starvedDeadlines = 3
	recoveredShare   = 0.95 // of requests in deadline, from which a second is normal
	histogramMax     = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	percentileTail   = 99
	percentileMedian = 50
	microsPerMilli   = 1000.0
	percent          = 100
)

// percentile returns the p-th percentile of times in milliseconds.
func percentile(times []time.Duration, p float64) float64 {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, t := range times {
		_ = h.RecordValue(min(histogramMax, max(1, t.Microseconds())))
	}
	return float64(h.ValueAtPercentile(p)) / microsPerMilli
}

// answered reports whether r counts for times to the first token: it was
// admitted. One without an answer counts with the time that it had waited.
func admitted(r *caller.Result) bool {
	return r.Outcome == caller.OK || r.Outcome == caller.Unfinished || expired(r)
}

// expired reports whether the daemon gave r up since its deadline had passed.
func expired(r *caller.Result) bool {
	return r.Outcome == caller.Failed && r.Code == string(refusal.DeadlineExceeded)
}

func ttfts(results []*caller.Result, include func(*caller.Result) bool) []time.Duration {
	var times []time.Duration
	for _, r := range results {
		if admitted(r) && include(r) {
			times = append(times, r.TTFT)
		}
	}
	return times
}

func isShort(r *caller.Result) bool { return r.Request.Kind != workload.Manifest }
func anyResult(*caller.Result) bool { return true }

func (r *run) phaseResults(name string) []*caller.Result {
	i := r.plan.index(name)
	var results []*caller.Result
	for _, res := range r.results {
		if res.Request.Phase == i {
			results = append(results, res)
		}
	}
	return results
}

func (r *run) measuredResults() []*caller.Result {
	var results []*caller.Result
	for _, res := range r.results {
		if r.plan.phases[res.Request.Phase].measured {
			results = append(results, res)
		}
	}
	return results
}

// span returns the first counted phase and the one after the last.
func (r *run) measuredRange() (first, end int) {
	isMeasured := func(p phase) bool { return p.measured }
	first = slices.IndexFunc(r.plan.phases, isMeasured)
	end = first
	for end < len(r.plan.phases) && isMeasured(r.plan.phases[end]) {
		end++
	}
	return first, end
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// hitRate returns the hit rate from the start of one phase to that of another.
func (r *run) hitRate(first, end int) float64 {
	a, b := r.readings[first].stats, r.readings[end].stats
	return ratio(b.CachedTokens-a.CachedTokens, b.PromptTokens-a.PromptTokens)
}

func (r *run) phaseHitRate(name string) float64 {
	i := r.plan.index(name)
	return r.hitRate(i, i+1)
}

func (r *run) figures() *Figures {
	r.engines.markFalseRefusals(r.results)
	measured := r.measuredResults()
	first, end := r.measuredRange()
	ideal := r.ideal()
	f := &Figures{
		Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed, Site: r.Site.Name,
		Load: r.plan.load, CapacityRPS: r.plan.capacity,
		Requests:     len(measured),
		HitRate:      r.hitRate(first, end),
		IdealHitRate: ideal.HitRate,
		WastedShare:  r.wastedShare(first, end),
		TTFTP50:      percentile(ttfts(measured, anyResult), percentileMedian),
		TTFTP99:      percentile(ttfts(measured, anyResult), percentileTail),
		ShortTTFTP99: percentile(ttfts(measured, isShort), percentileTail),
		IdealTTFTP99: percentile(ideal.TTFTs, percentileTail),
	}
	f.CPUShare, f.OwnCPUShare = r.readings[end].cpu.Since(r.readings[first].cpu)
	r.countOutcomes(f, measured)
	r.countProblems(f)
	r.addScenarioFigures(f)
	return f
}

func (r *run) countOutcomes(f *Figures, measured []*caller.Result) {
	inDeadline := 0
	f.RefusedBy = make(map[string]int)
	var late []time.Duration
	for _, res := range measured {
		late = append(late, res.Sent-res.Request.Due)
		if res.InDeadline() {
			inDeadline++
		}
		switch res.Outcome {
		case caller.OK:
			f.OK++
		case caller.Refused:
			f.Refused++
			f.RefusedBy[res.Code]++
		case caller.Unfinished:
			f.Unfinished++
		}
	}
	f.InDeadline = ratio(inDeadline, len(measured))
	f.SendLateP99 = percentile(late, percentileTail)
}

func (r *run) countProblems(f *Figures) {
	violations := slices.Clone(r.engines.violations)
	var errors []string
	for _, res := range r.results {
		if res.Violation != "" {
			violations = append(violations, res.Violation)
		}
		if r.plan.phases[res.Request.Phase].Name == warmUpPhase {
			continue
		}
		switch res.Outcome {
		case caller.Severed:
			f.Severed++
		case caller.Failed:
			errors = append(errors, "error: "+res.Code)
			if expired(res) {
				f.Expired++
			}
		}
	}
	f.Violations, f.Errors = len(violations), len(errors)
	problems := slices.Concat(violations, errors)
	f.FirstProblems = problems[:min(maxProblems, len(problems))]
}

// ideal replays the requests that were not refused.
func (r *run) ideal() measure.Ideal {
	var requests []*workload.Request
	for _, res := range r.results {
		if res.Outcome != caller.Refused {
			requests = append(requests, res.Request)
		}
	}
	isMeasured := func(q *workload.Request) bool { return r.plan.phases[q.Phase].measured }
	return measure.Replay(r.Site.PooledPieces(), requests, isMeasured, r.Site.PrefillTime)
}

func (r *run) wastedShare(first, end int) float64 {
	a, b := r.readings[first], r.readings[end]
	return ratio(b.wasted-a.wasted, b.stats.PrefilledTokens-a.stats.PrefilledTokens)
}
