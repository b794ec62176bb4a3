package scenario

import (
	"time"

	"currantpulley/bench/caller"
)

// addScenarioFigures adds the figures that only some scenarios have.
func (r *run) addScenarioFigures(f *Figures) {
	switch r.Scenario {
	case "crest":
		r.addCrestFigures(f)
	case "hol":
		r.addHeadOfLineFigures(f)
	case "slow":
		f.TTFTP99Before = percentile(ttfts(r.phaseResults("before"), anyResult), percentileTail)
		f.TTFTRatio = f.TTFTP99 / f.TTFTP99Before
	case "shift":
		f.HitRateBefore = r.phaseHitRate("before")
		f.HitRateAfter = r.phaseHitRate("moved")
	case "restart":
		f.HitRateBefore = r.phaseHitRate("before")
		f.HitRateAfter = r.phaseHitRate("restarted")
	}
}

// addCrestFigures adds the figures of the overload at the crest and of the
// recovery after it.
func (r *run) addCrestFigures(f *Figures) {
	f.HitRateBefore = r.phaseHitRate("before")
	f.HitRateAfter = r.phaseHitRate("after")
	i := r.plan.index("crest")
	length := r.plan.phases[i].Length
	first, end := r.phaseStart(i), r.phaseStart(i)+length
	tokens := 0
	for _, res := range r.results {
		at := res.Request.Due + res.TTFT
		if res.Outcome == caller.OK && at >= first && at < end {
			tokens++
		}
	}
	f.WorkShare = float64(tokens) / length.Seconds() / r.plan.capacity
	f.AdmittedP99 = r.admittedP99(r.phaseResults("crest"))
	f.RecoverySeconds = r.recoverySeconds(end)
}

// phaseStart returns when phase i starts, since the start of the run.
func (r *run) phaseStart(i int) time.Duration {
	var sum time.Duration
	for _, p := range r.plan.phases[:i] {
		sum += p.Length
	}
	return sum
}

// admittedP99 returns the 99th percentile of time to first token divided by
// deadline.
func (r *run) admittedP99(results []*caller.Result) float64 {
	var scaled []time.Duration
	for _, res := range results {
		if admitted(res) {
			scaled = append(scaled, res.TTFT*percent/res.Request.Deadline*time.Millisecond)
		}
	}
	return percentile(scaled, percentileTail) / percent
}

// recoverySeconds returns the number of seconds after end from which on, in every
// second, at least recoveredShare of the requests meet their deadline.
func (r *run) recoverySeconds(end time.Duration) float64 {
	var total, inDeadline [60]int
	for _, res := range r.phaseResults("after") {
		second := min(len(total)-1, int((res.Request.Due-end)/time.Second))
		total[second]++
		if res.InDeadline() {
			inDeadline[second]++
		}
	}
	recovered := 0
	for second := range total {
		if total[second] > 0 && ratio(inDeadline[second], total[second]) < recoveredShare {
			recovered = second + 1
		}
	}
	return float64(recovered)
}

// addHeadOfLineFigures compares the latency of short work with and without long
// work, and counts starved long requests.
func (r *run) addHeadOfLineFigures(f *Figures) {
	f.ShortP99Alone = percentile(ttfts(r.phaseResults("alone"), isShort), percentileTail)
	f.ShortRatio = f.ShortTTFTP99 / f.ShortP99Alone
	for _, res := range r.measuredResults() {
		if isShort(res) || !admitted(res) {
			continue
		}
		f.LongTTFTMax = max(f.LongTTFTMax, float64(res.TTFT.Microseconds())/microsPerMilli)
		if res.TTFT > starvedDeadlines*res.Request.Deadline {
			f.LongStarved++
		}
	}
}
