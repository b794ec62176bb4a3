package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// suite selects benchmarks of a package.
type suite struct {
	pkg       string
	bench     string // regular expression
	benchtime string // iterations, as for the flag of go test
}

// suites are the benchmarks that are run.
var suites = []suite{
	{"./internal/decide", "BenchmarkDecision|BenchmarkSnapshot", "500x"},
	{"./internal/decide", "BenchmarkState", "3x"},
	{"./internal/config", "BenchmarkParse", "3x"},
	{"./internal/control/publish", "BenchmarkPayload", "3x"},
	{"./internal/control/calls", "BenchmarkRecord", "200x"},
	{"./internal/control/calls", "BenchmarkMemory", "2x"},
	{"./internal/control/lease", "BenchmarkHour", "2x"},
	{"./internal/control/orders", "BenchmarkTick", "50x"},
	{"./internal/timeline", "BenchmarkRecorder", "2000x"},
}

// metric identifies a measured value: a benchmark and its unit, or a fit of
// control traffic.
type metric struct{ bench, unit string }

// sample holds the values of repeated runs.
type sample []float64

// median returns the median, or 0 without values.
func (s sample) median() float64 {
	if len(s) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(s))[len(s)/2]
}

// spread returns half the range divided by the median, or 0 if the median is 0.
func (s sample) spread() float64 {
	if len(s) == 0 || s.median() == 0 {
		return 0
	}
	return (slices.Max(s) - slices.Min(s)) / 2 / s.median()
}

// measures holds all values by metric.
type measures map[metric]sample

// median returns the median of a benchmark in the given unit.
func (m measures) median(bench, unit string) float64 { return m[metric{bench, unit}].median() }

// benchLine matches a result line of go test and captures the benchmark's name
// without the GOMAXPROCS suffix, and its values with units.
var benchLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)

// benchmarks runs every suite repeat times.
func benchmarks(repeat int) (measures, error) {
	m := make(measures)
	for _, s := range suites {
		fmt.Fprintln(os.Stderr, "measure", s.pkg, s.bench)
		out, err := exec.Command("go", "test", "-run", "^$", "-bench", s.bench, "-benchtime", s.benchtime, //nolint:gosec // fixed arguments
			"-count", strconv.Itoa(repeat), s.pkg).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("run benchmarks of %s: %w\n%s", s.pkg, err, out)
		}
		m.parse(out)
	}
	return m, nil
}

// parse adds the values in the output of go test. It skips other lines.
func (m measures) parse(out []byte) {
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		match := benchLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		fields := strings.Fields(match[2])
		for i := 0; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				n := metric{match[1], fields[i+1]}
				m[n] = append(m[n], v)
			}
		}
	}
}

// controlLine is a line of the output of bench/slopes: a measurement or a fit.
type controlLine struct {
	Daemons        int     `json:"daemons"`
	SiteSize       int     `json:"site_size"`
	BytesPerSecond float64 `json:"bytes_per_s"`
	CPUShare       float64 `json:"cpu_share"`
	Fit            string  `json:"fit"`
	Over           string  `json:"over"`
	At             float64 `json:"at"`
	Value          float64 `json:"value"`
}

// controlTraffic runs bench/slopes and adds its measurements and fits to m.
func controlTraffic(f *flags, m measures) error {
	fmt.Fprintln(os.Stderr, "measure control traffic")
	cmd := exec.Command("go", "run", "./bench/slopes", "-only", "control", "-json", "-warm-up", f.warmUp, "-seconds", f.seconds) //nolint:gosec // the project's own program
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("measure control traffic: %w", err)
	}
	for line := range bytes.SplitSeq(out, []byte("\n")) {
		var l controlLine
		if json.Unmarshal(line, &l) != nil {
			continue
		}
		if l.Fit != "" {
			m[metric{fmt.Sprintf("control/%s/at=%.0f", l.Over, l.At), l.Fit}] = sample{l.Value}
			continue
		}
		bench := fmt.Sprintf("control/daemons=%d/site=%d", l.Daemons, l.SiteSize)
		m[metric{bench, "B/s"}] = sample{l.BytesPerSecond}
		m[metric{bench, "cores"}] = sample{l.CPUShare}
	}
	return nil
}
