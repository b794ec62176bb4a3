package check

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// soundRecords returns records in which every promise is kept.
func soundRecords() *record.All {
	r := &record.All{}
	for i := range 200 {
		id, seal := fmt.Sprint("a", i), fmt.Sprint("i-0-0.", i)
		r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: id, Service: site.Plain, Upstream: "i-0-0", At: at(i * 20), Ran: true, Status: 200, Seal: seal})
		r.Calls = append(r.Calls, record.Call{
			Attempt: id, Request: fmt.Sprint("q", i), Service: site.Plain, Route: "once", Once: true, Method: "POST", Daemon: "d",
			Sent: at(i * 20), Done: at(i*20 + 15), Limit: time.Second, Outcome: record.Answered, Status: 200, Seal: seal,
		})
	}
	// One that no upstream ran, and a stream that a caller resumed.
	r.Calls = append(r.Calls, record.Call{Attempt: "refused", Once: true, Sent: at(0), Done: at(1), Limit: time.Second, Outcome: record.Answered, Status: 503})
	r.Calls = append(r.Calls,
		record.Call{Attempt: "s1", Request: "s", Total: 3, Sent: at(0), Done: at(9), Limit: time.Second, Outcome: record.Broken, Events: []record.Event{{ID: 1, Software: "v1"}}},
		record.Call{Attempt: "s2", Request: "s", Total: 3, Sent: at(10), Done: at(19), Limit: time.Second, Outcome: record.Answered, LastEvent: 1,
			Events: []record.Event{{ID: 2, Software: "v1"}, {ID: 3, Software: "v1"}}})
	r.Memory = []record.Memory{{Daemon: "d", PeakMB: site.MemoryMB - 1}}
	r.Recoveries = []record.Recovery{{Daemon: "d", Route: "once", After: site.Recovery - time.Second}}
	return r
}

// rulesOf returns the rules that findings break, each once.
func rulesOf(findings []Finding) []string {
	var out []string
	for _, f := range findings {
		if !slices.Contains(out, f.Rule) {
			out = append(out, f.Rule)
		}
	}
	return out
}

// Guards against findings where nothing is wrong.
func TestSoundRecordsHaveNoFindings(t *testing.T) {
	if f := All(soundRecords()); len(f) > 0 {
		t.Errorf("%v", f)
	}
}

// Guards against checkers that no longer find what they are for.
func TestEachCheckerFindsItsPlantedFault(t *testing.T) {
	call := func(r *record.All, i int) *record.Call { return &r.Calls[i] }
	for _, tc := range []struct {
		name, rule string
		plant      func(r *record.All)
	}{
		{"ran again at another upstream", RuleTwice, func(r *record.All) {
			again := r.Arrivals[7]
			again.Upstream = "i-1-0"
			r.Arrivals = append(r.Arrivals, again)
		}},
		{"refused and ran before", RuleRefused, func(r *record.All) { call(r, 7).Status, call(r, 7).Seal = 503, "" }},
		{"misdirected and ran", RuleRefused, func(r *record.All) { call(r, 7).Status, call(r, 7).Seal = 421, "" }},
		{"refused and ran later", RuleRefused, func(r *record.All) {
			r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "refused", Service: site.Plain, At: at(9000), Ran: true})
		}},
		{"sent to an upstream that leaves", RuleLeaving, func(r *record.All) { r.Arrivals[7].Leaving = true }},
		{"sent within a pause", RulePause, func(r *record.All) { r.Arrivals[7].Pause = time.Second }},
		{"too many repeats that upstreams refused", RuleBudget, func(r *record.All) {
			for i := range site.RetryExtra + 41 {
				r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: fmt.Sprint("a", i), Service: site.Plain, At: at(4000)})
			}
		}},
		{"too many repeats for a service without requests", RuleBudget, func(r *record.All) {
			for range site.RetryExtra + 2 {
				r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "refused", Service: site.Engine, At: at(4000)})
			}
		}},
		{"problem seen by the caller", RuleMixed, func(r *record.All) { call(r, 7).Problem = "the success is not signed" }},
		{"seal of another attempt", RuleMixed, func(r *record.All) { call(r, 7).Seal = r.Arrivals[8].Seal }},
		{"seal of nobody", RuleMixed, func(r *record.All) { call(r, 7).Seal = "forged" }},
		{"success where the upstream failed", RuleMixed, func(r *record.All) { r.Arrivals[7].Status = 500 }},
		{"failure where the upstream answered another one", RuleMixed, func(r *record.All) {
			r.Arrivals[7].Status, call(r, 7).Status = 500, 502
		}},
		{"another body", RuleUnasked, func(r *record.All) { r.Arrivals[7].Digest = "changed" }},
		{"a call of nobody", RuleUnasked, func(r *record.All) {
			r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "nobody", Service: site.Plain, At: at(9000), Ran: true})
		}},
		{"gap in a stream", RuleOrder, func(r *record.All) { call(r, 202).Problem = "event \"id: 3\" after event 1" }},
		{"two software versions over two attempts", RuleOrder, func(r *record.All) { call(r, 202).Events[0].Software = "v2" }},
		{"closed without an answer", RuleLost, func(r *record.All) {
			for i := range lostFew + 1 {
				call(r, i).Outcome, call(r, i).Status, call(r, i).Seal = record.Closed, 0, ""
			}
		}},
		{"run at too many upstreams", RuleAttempts, func(r *record.All) {
			for i := range attemptsFew + 1 {
				call(r, i).Once = false
				for range site.MaxAttempts {
					r.Arrivals = append(r.Arrivals, r.Arrivals[i])
				}
			}
		}},
		{"sent after the caller had left", RuleGone, func(r *record.All) {
			for i := range goneFew + 1 {
				call(r, i).Outcome, call(r, i).Status, call(r, i).Seal = record.Left, 0, ""
				r.Arrivals[i].At = call(r, i).Done.Add(goneSlack + time.Millisecond)
			}
		}},
		{"worked on after the caller had left", RuleGone, func(r *record.All) {
			for i := range goneFew + 1 {
				c := call(r, i)
				c.Outcome, c.Status, c.Seal = record.Left, 0, ""
				end := c.Done.Add(goneSlack + time.Millisecond)
				r.Works = append(r.Works, record.Work{Attempt: c.Attempt, Upstream: r.Arrivals[i].Upstream, Until: end, Ended: end})
			}
		}},
		{"answer too late", RuleLate, func(r *record.All) { call(r, 7).Done = call(r, 7).Sent.Add(time.Second + site.AnswerSlack + 1) }},
		{"no answer at all", RuleLate, func(r *record.All) { call(r, 7).Outcome, call(r, 7).Status, call(r, 7).Seal = record.Late, 0, "" }},
		{"proper calls refused", RuleDenied, func(r *record.All) {
			for i := range deniedFew + 1 {
				call(r, i).Status, call(r, i).Seal = 404, ""
			}
		}},
		{"no success after the last fault", RuleRecover, func(r *record.All) { r.Recoveries[0].After = -1 }},
		{"success too long after the last fault", RuleRecover, func(r *record.All) { r.Recoveries[0].After = site.Recovery + 1 }},
		{"requests with a harmful part go on", RuleCrashes, func(r *record.All) { plantHarmful(r, partCrashes, record.Arrival{Service: site.Engine, Part: "p"}) }},
		{"a harmful request goes on", RuleSame, func(r *record.All) { plantHarmful(r, sameCrashes, record.Arrival{Service: site.Engine, Same: "q"}) }},
		{"daemons without a way that serve less", RuleCut, func(r *record.All) {
			r.Spans = []record.Span{{Kind: plan.CutDaemons, Target: "cut1 cut2", From: at(-3500), To: at(9000)}}
			for i := range 60 {
				call(r, i).Daemon, call(r, i).Status, call(r, i).Seal = "cut2", 502, ""
			}
		}},
		{"brittle upstreams that end", RuleBrittle, func(r *record.All) {
			r.Spans = []record.Span{{Kind: plan.Brittle, From: at(0), To: at(4000)}}
			for i := range brittleFalls + 1 {
				r.Arrivals[i].Fell = true
			}
		}},
		{"more than a quota", RuleQuota, func(r *record.All) {
			for i := range 300 {
				id := fmt.Sprint("over", i)
				r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: id, Service: site.Plain, Upstream: "i-0-0", At: at(4000 + i*25), Ran: true, Status: 200, Seal: id, Method: "POST"})
				r.Calls = append(r.Calls, record.Call{
					Attempt: id, Request: id, Service: site.Plain, Route: "once", Once: true, Method: "POST", Daemon: "d", Workspace: site.Workspace.Name,
					Sent: at(4000 + i*25), Done: at(4010 + i*25), Limit: time.Second, Outcome: record.Answered, Status: 200, Seal: id,
				})
			}
		}},
		{"more than a stated limit", RuleLimit, func(r *record.All) {
			for i := range r.Arrivals[:200] {
				r.Arrivals[i].Limit = 1
			}
			r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "a7", Upstream: "i-0-0", At: at(-4000), Limit: 1})
			slices.SortFunc(r.Arrivals, func(a, b record.Arrival) int { return a.At.Compare(b.At) })
		}},
		{"too much memory", RuleMemory, func(r *record.All) { r.Memory[0].PeakMB = site.MemoryMB + 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := soundRecords()
			tc.plant(r)
			if got := rulesOf(All(r)); !slices.Equal(got, []string{tc.rule}) {
				t.Errorf("findings of rules %v, want %s", got, tc.rule)
			}
		})
	}
}

// plantHarmful adds arrivals like a: as many as crashes are known, and then one too
// many.
func plantHarmful(r *record.All, known int, a record.Arrival) {
	for i := range known + harmfulFew + 1 {
		ms := i * 100
		if i >= known {
			ms += 3500
		}
		a.Attempt, a.At = fmt.Sprint("a", i), at(ms)
		r.Arrivals = append(r.Arrivals, a)
	}
}

// Guards against findings for what a paused daemon can't do and what nobody can tell.
func TestExemptions(t *testing.T) {
	r := soundRecords()
	r.Calls[7].Outcome, r.Calls[7].Status, r.Calls[7].Seal = record.Late, 0, ""
	r.Spans = []record.Span{{Kind: plan.PauseDaemon, Target: "d", From: at(140), To: at(150)}}
	if f := All(r); len(f) > 0 {
		t.Errorf("daemon paused: %v", f)
	}
	r = soundRecords()
	for i := range goneFew + 1 {
		r.Calls[i].Outcome, r.Calls[i].Status, r.Calls[i].Seal = record.Left, 0, ""
		r.Arrivals[i].At = r.Calls[i].Done.Add(time.Second)
	}
	r.Spans = []record.Span{{Kind: plan.PauseUpstream, From: at(50), To: at(900)}}
	if f := All(r); len(f) > 0 {
		t.Errorf("upstream paused while calls were under way: %v", f)
	}
	r = soundRecords()
	r.Calls[7].Problem, r.Arrivals[7].Trouble = "the body has 5 bytes and is not whole", plan.NoLength
	if len(All(r)) != 1 {
		t.Error("an unframed answer that was not cut by a kill has no finding")
	}
	r.Spans = []record.Span{{Kind: plan.KillUpstream, Instance: "i-0-0"}}
	if f := All(r); len(f) > 0 {
		t.Errorf("upstream killed: %v", f)
	}
}

// Guards against a bound that counts only the window itself: its service may have had
// more requests in the window before.
func TestBudgetCountsTheWindowBefore(t *testing.T) {
	r := &record.All{}
	for i := range 500 {
		r.Calls = append(r.Calls, record.Call{Service: site.Plain, Sent: at(i)})
	}
	for range 1 + 100 + site.RetryExtra {
		r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "a", Service: site.Plain, At: at(15_000)})
	}
	if f := Budget(r, site.RetryRatio, site.RetryExtra, site.RetryWindow); len(f) > 0 {
		t.Errorf("%v", f)
	}
	r.Arrivals = append(r.Arrivals, record.Arrival{Attempt: "a", Service: site.Plain, At: at(15_001)})
	if f := Budget(r, site.RetryRatio, site.RetryExtra, site.RetryWindow); len(f) != 1 {
		t.Errorf("findings %v, want one", f)
	}
}
