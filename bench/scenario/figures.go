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

// Figures are the results of a run. Times are in milliseconds from the time at
// which a request was due. Unless stated otherwise, the figures cover the
// requests of the measured phases.
type Figures struct {
	Scenario      string   `json:"scenario"`
	Policy        string   `json:"policy"`
	Seed          uint64   `json:"seed"`
	Requests      int      `json:"requests"`
	OK            int      `json:"ok"`
	Refused       int      `json:"refused"`
	Errors        int      `json:"errors"` // of all phases after the warm-up
	HitRate       float64  `json:"hit_rate"`
	IdealHitRate  float64  `json:"ideal_hit_rate"`
	WastedShare   float64  `json:"wasted_share"`
	TTFTP50       float64  `json:"ttft_p50_ms"`
	TTFTP99       float64  `json:"ttft_p99_ms"`
	ShortTTFTP99  float64  `json:"short_ttft_p99_ms"`
	InDeadline    float64  `json:"in_deadline_share"`
	Violations    int      `json:"violations"` // of the whole run
	Site          string   `json:"site"`
	IdealTTFTP99  float64  `json:"ideal_ttft_p99_ms"` // with one pooled cache and no queues
	Load          float64  `json:"load"`              // share of capacity
	CapacityRPS   float64  `json:"capacity_rps"`
	Unfinished    int      `json:"unfinished"`       // no complete response when the run ended
	Expired       int      `json:"expired"`          // errors: the daemon gave up after the deadline
	Severed       int      `json:"severed"`          // connection broke because the daemon was killed
	CPUShare      float64  `json:"cpu_share"`        // share of the machine, all processes
	OwnCPUShare   float64  `json:"own_cpu_share"`    // share of the machine, this process
	SendLateP99   float64  `json:"send_late_p99_ms"` // delay of the load generator itself
	WallSeconds   float64  `json:"wall_s"`
	FirstProblems []string `json:"first_problems,omitempty"`

	HitRateBefore   float64        `json:"hit_rate_before,omitempty"`
	HitRateAfter    float64        `json:"hit_rate_after,omitempty"`
	TTFTP99Before   float64        `json:"ttft_p99_before_ms,omitempty"`
	TTFTRatio       float64        `json:"ttft_p99_ratio,omitempty"` // relative to TTFTP99Before
	ShortP99Alone   float64        `json:"short_ttft_p99_alone_ms,omitempty"`
	ShortRatio      float64        `json:"short_ttft_p99_ratio,omitempty"` // relative to ShortP99Alone
	LongTTFTMax     float64        `json:"long_ttft_max_ms,omitempty"`
	RefusedBy       map[string]int `json:"refused_by,omitempty"` // by error code
	LongStarved     int            `json:"long_starved"`         // admitted, but no token within starvedDeadlines times the deadline
	WorkShare       float64        `json:"work_share,omitempty"` // first tokens per second at the crest, relative to capacity
	AdmittedP99     float64        `json:"admitted_p99_of_deadline,omitempty"`
	RecoverySeconds float64        `json:"recovery_s,omitempty"` // from the end of the crest until deadlines are met again
}

const (
	maxProblems      = 5
	starvedDeadlines = 3
	recoveredShare   = 0.95 // share of requests in deadline from which a second counts as recovered
	histogramMax     = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	percentileTail   = 99
	percentileMedian = 50
	microsPerMilli   = 1000.0
	percent          = 100
)

// percentile returns the p-th percentile of times, in milliseconds.
func percentile(times []time.Duration, p float64) float64 {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, t := range times {
		_ = h.RecordValue(min(histogramMax, max(1, t.Microseconds())))
	}
	return float64(h.ValueAtPercentile(p)) / microsPerMilli
}

// admitted reports whether r was admitted and so counts for times to first token.
// A request without a token counts with the time that it waited.
func admitted(r *caller.Result) bool {
	return r.Outcome == caller.OK || r.Outcome == caller.Unfinished || expired(r)
}

// expired reports whether the daemon gave up on r because its deadline had passed.
func expired(r *caller.Result) bool {
	return r.Outcome == caller.Failed && r.Code == string(refusal.DeadlineExceeded)
}

// ttfts returns the times to first token of the admitted results that include
// selects.
func ttfts(results []*caller.Result, include func(*caller.Result) bool) []time.Duration {
	var times []time.Duration
	for _, r := range results {
		if admitted(r) && include(r) {
			times = append(times, r.TTFT)
		}
	}
	return times
}

// isShort reports whether r is short work.
func isShort(r *caller.Result) bool { return r.Request.Kind != workload.Manifest }

// anyResult selects every result.
func anyResult(*caller.Result) bool { return true }

// phaseResults returns the results of the phase called name.
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

// measuredResults returns the results of the measured phases.
func (r *run) measuredResults() []*caller.Result {
	var results []*caller.Result
	for _, res := range r.results {
		if r.plan.phases[res.Request.Phase].measured {
			results = append(results, res)
		}
	}
	return results
}

// measuredRange returns the indices of the first measured phase and of the phase
// after the last one.
func (r *run) measuredRange() (first, end int) {
	isMeasured := func(p phase) bool { return p.measured }
	first = slices.IndexFunc(r.plan.phases, isMeasured)
	end = first
	for end < len(r.plan.phases) && isMeasured(r.plan.phases[end]) {
		end++
	}
	return first, end
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// hitRate returns the hit rate from the start of phase first to the start of
// phase end.
func (r *run) hitRate(first, end int) float64 {
	a, b := r.readings[first].stats, r.readings[end].stats
	return ratio(b.CachedTokens-a.CachedTokens, b.PromptTokens-a.PromptTokens)
}

func (r *run) phaseHitRate(name string) float64 {
	i := r.plan.index(name)
	return r.hitRate(i, i+1)
}

// figures computes the figures after the run.
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

// countOutcomes sets the figures that count outcomes of the measured results.
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

// countProblems counts violations of the whole run, and errors and severed
// connections after the warm-up.
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

// ideal replays the requests that were not refused through one pooled cache.
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

// wastedShare returns the share of prefilled tokens that another engine had cached.
func (r *run) wastedShare(first, end int) float64 {
	a, b := r.readings[first], r.readings[end]
	return ratio(b.wasted-a.wasted, b.stats.PrefilledTokens-a.stats.PrefilledTokens)
}
