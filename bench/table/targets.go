package table

import (
	"slices"

	"currantpulley/bench/scenario"
)

func hitRate(f *scenario.Figures) float64     { return f.HitRate }
func wastedShare(f *scenario.Figures) float64 { return f.WastedShare }
func ttftP50(f *scenario.Figures) float64     { return f.TTFTP50 }
func ttftP99(f *scenario.Figures) float64     { return f.TTFTP99 }
func idealP99(f *scenario.Figures) float64    { return f.IdealTTFTP99 }
func shortP99(f *scenario.Figures) float64    { return f.ShortTTFTP99 }
func inDeadline(f *scenario.Figures) float64  { return f.InDeadline }
func cpuShare(f *scenario.Figures) float64    { return f.CPUShare }
func sendLate(f *scenario.Figures) float64    { return f.SendLateP99 }

func hitRateOfIdeal(f *scenario.Figures) float64 { return ratio(f.HitRate, f.IdealHitRate) }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// targetValue computes the value that a target bounds, for a row at a site.
type targetValue func(t *Table, siteName string, r row) float64

// target is a bound on a value of the router's own policy.
type target struct {
	text      string
	bound     float64
	isMaximum bool // whether bound is an upper bound; otherwise a lower one
	value     targetValue
}

func (g target) met(v float64) bool {
	if g.isMaximum {
		return v <= g.bound
	}
	return v >= g.bound
}

// ownMedian is the median of the router's own policy.
func ownMedian(m measure) targetValue {
	return func(t *Table, siteName string, r row) float64 {
		return t.cell(siteName, t.ownPolicy(), r).median(m)
	}
}

// ownHighest is the largest value over the seeds of the router's own policy.
func ownHighest(m measure) targetValue {
	return func(t *Table, siteName string, r row) float64 {
		return t.cell(siteName, t.ownPolicy(), r).highest(m)
	}
}

// ownToLowest is ownMedian divided by the lowest median of the baselines.
func ownToLowest(m measure) targetValue {
	return func(t *Table, siteName string, r row) float64 {
		return ratio(ownMedian(m)(t, siteName, r), slices.Min(t.baselines(siteName, r, m)))
	}
}

// ownToHighest is ownMedian divided by the highest median of the baselines.
func ownToHighest(m measure) targetValue {
	return func(t *Table, siteName string, r row) float64 {
		return ratio(ownMedian(m)(t, siteName, r), slices.Max(t.baselines(siteName, r, m)))
	}
}

func afterToBefore(f *scenario.Figures) float64 { return ratio(f.HitRateAfter, f.HitRateBefore) }

func lowestToBefore(f *scenario.Figures) float64 {
	return ratio(min(f.HitRate, f.HitRateAfter), f.HitRateBefore)
}

// targets are the targets by scenario.
var targets = map[string][]target{
	"steady": {
		{"hit_rate / ideal", 0.92, false, ownMedian(hitRateOfIdeal)},
		{"wasted_share / best baseline", 0.5, true, ownToLowest(wastedShare)},
		{"ttft_p99 / best baseline", 0.5, true, ownToLowest(ttftP99)},
	},
	"crest": {
		{"in_deadline_share / best baseline", 1.3, false, ownToHighest(inDeadline)},
		{"work done / capacity", 0.9, false, ownMedian(func(f *scenario.Figures) float64 { return f.WorkShare })},
		{"ttft_p99 of admitted / deadline", 1, true, ownMedian(func(f *scenario.Figures) float64 { return f.AdmittedP99 })},
		{"lowest hit_rate / before", 0.8, false, ownMedian(lowestToBefore)},
		{"seconds until normal", 5, true, ownMedian(func(f *scenario.Figures) float64 { return f.RecoverySeconds })},
	},
	"hol": {
		{"short_ttft_p99 / alone", 1.5, true, ownMedian(func(f *scenario.Figures) float64 { return f.ShortRatio })},
		{"long requests starved, any seed", 0, true, ownHighest(func(f *scenario.Figures) float64 { return float64(f.LongStarved) })},
	},
	"slow": {
		{"ttft_p99 / unslowed", 1.5, true, ownMedian(func(f *scenario.Figures) float64 { return f.TTFTRatio })},
	},
	"shift": {
		{"hit_rate 5 s later / before", 0.9, false, ownMedian(afterToBefore)},
	},
	"restart": {
		{"hit_rate in the first 5 s / before", 0.9, false, ownMedian(afterToBefore)},
	},
}

// commonTargets are the targets of every scenario.
var commonTargets = []target{
	{"violations, any seed", 0, true, ownHighest(func(f *scenario.Figures) float64 { return float64(f.Violations) })},
	{"errors, any seed", 0, true, ownHighest(func(f *scenario.Figures) float64 { return float64(f.Errors) })},
}

func targetsOf(r row) []target { return slices.Concat(targets[r.scenario], commonTargets) }
