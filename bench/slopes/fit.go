package main

import "gonum.org/v1/gonum/stat"

// Sizes to which costs are extrapolated, and budgets per daemon.
const (
	fleetDaemons   = 440
	siteDaemons    = 63       // 440 daemons over 7 data centres
	bytesBudget    = 8 * 1024 // per second
	cpuBudgetShare = 0.014    // of a core
)

// fitLine is a linear regression over the figures of one series.
type fitLine struct {
	Fit       string  `json:"fit"`       // the figure
	Over      string  `json:"over"`      // the quantity that grows
	Intercept float64 `json:"intercept"` // value at size 0
	Slope     float64 `json:"slope"`     // increase per daemon
	At        float64 `json:"at"`        // size to which the line is extrapolated
	Value     float64 `json:"value"`     // value at that size
	Budget    float64 `json:"budget"`
	Within    bool    `json:"within"`
}

// fitControl fits each figure over the size of one site and, with at least two
// sizes in manySites, over the size of the fleet.
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
		// The line starts at the cost in a single site of full size and has the
		// slope of the fleet. Noise can make that slope negative, but no cost
		// falls in a larger fleet.
		fleet.Slope = max(fleet.Slope, 0)
		fleet.Intercept = site.Value - fleet.Slope*siteDaemons
		fleet.extrapolate(fleetDaemons)
		lines = append(lines, fleet)
	}
	return lines
}

// fit returns the least-squares line of value over the number of daemons.
func fit(figures []controlFigures, value func(controlFigures) float64) fitLine {
	var xs, ys []float64
	for _, f := range figures {
		xs = append(xs, float64(f.Daemons))
		ys = append(ys, value(f))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return fitLine{Intercept: intercept, Slope: slope}
}

// extrapolate sets the value at size and whether it is within the budget.
func (l *fitLine) extrapolate(size float64) {
	l.At = size
	l.Value = l.Intercept + l.Slope*size
	l.Within = l.Value <= l.Budget
}
