package main

import "gonum.org/v1/gonum/stat"

// Sizes and budgets that the costs are compared with.
const (
	fleetDaemons   = 440
	siteDaemons    = 63 // 440 daemons over 7 data centres
	bytesBudget    = 8 * 1024
	cpuBudgetShare = 0.014
)

// fitLine is a straight line through the figures of one series.
type fitLine struct {
	Fit       string  `json:"fit"`       // of what
	Over      string  `json:"over"`      // what grows
	Intercept float64 `json:"intercept"` // at size 0
	Slope     float64 `json:"slope"`     // a daemon more
	At        float64 `json:"at"`        // size extrapolated to
	Value     float64 `json:"value"`     // at that size
	Budget    float64 `json:"budget"`
	Within    bool    `json:"within"`
}

func fitControl(oneSite, manySites []controlFigures) []fitLine {
	bytes := func(c controlFigures) float64 { return c.BytesPerSecond }
	sent := func(c controlFigures) float64 { return c.SentPerSecond }
	cpu := func(c controlFigures) float64 { return c.CPUShare }
	var lines []fitLine
	for _, what := range []struct {
		name   string
		value  func(controlFigures) float64
		budget float64
	}{
		{"sent and received bytes a second", bytes, bytesBudget},
		{"sent bytes a second", sent, bytesBudget},
		{"share of a core", cpu, cpuBudgetShare},
	} {
		site := fit(oneSite, what.value)
		site.Fit, site.Over, site.Budget = what.name, "one site", what.budget
		site.extrapolate(siteDaemons)
		lines = append(lines, site)
		if len(manySites) < 2 {
			continue
		}
		fleet := fit(manySites, what.value)
		fleet.Fit, fleet.Over, fleet.Budget = what.name, "sites of 63 in a fleet", what.budget
		// The fleet's slope is added to the cost in a site of full size. Noise
		// may make it negative, but no part gets cheaper in a larger fleet.
		fleet.Slope = max(fleet.Slope, 0)
		fleet.Intercept = site.Value - fleet.Slope*siteDaemons
		fleet.extrapolate(fleetDaemons)
		lines = append(lines, fleet)
	}
	return lines
}

func fit(figures []controlFigures, value func(controlFigures) float64) fitLine {
	var xs, ys []float64
	for _, f := range figures {
		xs = append(xs, float64(f.Daemons))
		ys = append(ys, value(f))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return fitLine{Intercept: intercept, Slope: slope}
}

func (l *fitLine) extrapolate(size float64) {
	l.At = size
	l.Value = l.Intercept + l.Slope*size
	l.Within = l.Value <= l.Budget
}
