// Package explain finds out from the logs of daemons why a request ended as it
// did.
package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/refusal"
	"currantpulley/internal/timeline"
)

// Events of a request's upstreams and VMs count as possible causes from
// contextBefore its first event until contextAfter its last event. The time after
// is needed because the failure of an engine is noticed a little later than its
// answers break off.
const (
	contextBefore = 10 * time.Second
	contextAfter  = 2 * time.Second
)

// Explanation holds the events of one request and the cause of its outcome, as
// far as the logs show them.
type Explanation struct {
	Request string           `json:"request"`
	Events  []timeline.Entry `json:"way"`     // the request's own events
	Context []timeline.Entry `json:"context"` // events of its upstreams and VMs, from shortly before it until shortly after
	Cause   string           `json:"cause"`
	Missing []string         `json:"missing,omitempty"` // what the logs don't show
}

// Request explains the outcome of the request with the given ID.
func Request(log *timeline.Log, id string) *Explanation {
	x := &Explanation{Request: id}
	for _, e := range log.Entries {
		if e.Request == id {
			x.Events = append(x.Events, e)
		}
	}
	if len(x.Events) == 0 {
		x.Cause = "not known"
		x.Missing = append(x.Missing, "no line names the request: the log of its VM was not given, its lines were suppressed by sampling, or it never arrived")
		x.noteSuppressed(log, "")
		return x
	}
	x.findContext(log)
	x.Cause = x.cause()
	x.findMissing(log)
	return x
}

// vmWideEvents are the events that affect every request of a VM.
var vmWideEvents = []event.ID{
	event.ProviderLost, event.ProviderRegained, event.ProviderConfigApplied, event.DaemonStarted, event.DaemonDraining,
	event.DaemonStopped, event.DaemonDetached, event.DaemonReattached, event.CacheStoreLost,
}

// findContext collects the events of the request's upstreams and VMs.
func (x *Explanation) findContext(log *timeline.Log) {
	from, to := x.Events[0].At.Add(-contextBefore), x.Events[len(x.Events)-1].At.Add(contextAfter)
	vms, upstreams := make(map[string]bool), make(map[string]bool)
	for _, e := range x.Events {
		vms[e.VM] = true
		if e.Upstream != "" {
			upstreams[e.Upstream] = true
		}
	}
	for _, e := range log.Entries {
		if e.Request != "" || e.At.Before(from) || e.At.After(to) {
			continue
		}
		if upstreams[e.Upstream] || vms[e.VM] && slices.Contains(vmWideEvents, e.Number) {
			x.Context = append(x.Context, e)
		}
	}
}

// cause describes the event that ended the request and the failures before it.
func (x *Explanation) cause() string {
	last := x.Events[len(x.Events)-1]
	switch last.Number {
	case event.RequestServed:
		return x.servedCause(last)
	case event.RequestCancelled:
		return "the caller disconnected: " + last.Detail + x.failedAttempts()
	case event.StreamBroken:
		return "the answer broke off after part of it was relayed" + x.failedAttempts()
	case event.RequestRefused:
		return x.refusedCause(last)
	}
	return fmt.Sprintf("its last event is %s (%d)", last.Name, last.Number) + x.failedAttempts()
}

// servedCause describes a served request and its failed attempts.
func (x *Explanation) servedCause(last timeline.Entry) string {
	text := "served: " + last.Detail
	if failed := x.failedAttempts(); failed != "" {
		text += "; earlier attempts failed" + failed
	}
	return text
}

// refusedCause describes a refusal and, for a detached VM, the providers that it had
// lost.
func (x *Explanation) refusedCause(last timeline.Entry) string {
	text := fmt.Sprintf("refused as %s: %s", last.Detail, last.Error)
	if strings.HasPrefix(last.Detail, string(refusal.Detached)) {
		text += x.lostProviders(last)
	}
	return text + x.failedAttempts()
}

// lostProviders describes the providers that the VM of an event had lost before
// the event and not regained. Losses before the context began are not known.
func (x *Explanation) lostProviders(at timeline.Entry) string {
	lost := make(map[string]timeline.Entry)
	for _, e := range x.Context {
		switch {
		case e.VM != at.VM || e.At.After(at.At):
		case e.Number == event.ProviderLost:
			lost[e.Detail] = e
		case e.Number == event.ProviderRegained:
			delete(lost, e.Detail)
		}
	}
	text := ""
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		e := lost[name]
		text += fmt.Sprintf("; %s had lost %s %v before: %s", e.VM, name, at.At.Sub(e.At).Round(time.Second), e.Error)
	}
	return text
}

// failedAttempts describes the attempts that failed, and the orders sent to their
// upstreams shortly before.
func (x *Explanation) failedAttempts() string {
	var parts []string
	for _, e := range x.Events {
		if e.Number != event.AttemptFailed {
			continue
		}
		text := fmt.Sprintf("upstream %s: %s", e.Upstream, e.Error)
		if order := x.lastOrder(e.Upstream, e.At); order != nil {
			text += fmt.Sprintf(" (%s had ordered it to load weights: %s)", order.VM, order.Detail)
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return ""
	}
	return "; " + strings.Join(parts, "; ")
}

// lastOrder returns the last order to load weights that an upstream was given
// until the time at, nil if there is none.
func (x *Explanation) lastOrder(upstream string, at time.Time) *timeline.Entry {
	var found *timeline.Entry
	for i, e := range x.Context {
		if e.Number == event.OrderGiven && e.Upstream == upstream && !e.At.After(at) {
			found = &x.Context[i]
		}
	}
	return found
}

// finalEvents are the events that end a request; each request has one of them.
var finalEvents = []event.ID{event.RequestServed, event.RequestRefused, event.RequestCancelled, event.StreamBroken}

// findMissing notes what the logs don't show of the request.
func (x *Explanation) findMissing(log *timeline.Log) {
	ended := slices.ContainsFunc(x.Events, func(e timeline.Entry) bool { return slices.Contains(finalEvents, e.Number) })
	if !ended {
		x.Missing = append(x.Missing, "the request's end: its process stopped before it, or the line was suppressed by sampling")
	}
	for _, vm := range vmsOf(x.Events) {
		x.noteSuppressed(log, vm)
	}
	for _, e := range x.Events {
		known := slices.ContainsFunc(log.Entries, func(o timeline.Entry) bool {
			return o.Upstream == e.Upstream && o.Number == event.ProviderUpstream
		})
		if e.Upstream != "" && !known {
			x.Missing = append(x.Missing, "which provider added upstream "+e.Upstream+": the log begins later")
		}
	}
	slices.Sort(x.Missing)
	x.Missing = slices.Compact(x.Missing)
}

// noteSuppressed notes how many events a VM suppressed by sampling. An empty vm
// stands for all VMs.
func (x *Explanation) noteSuppressed(log *timeline.Log, vm string) {
	for name, n := range log.Suppressed {
		if n > 0 && (vm == "" || vm == name) {
			x.Missing = append(x.Missing, fmt.Sprintf("%d events that %s suppressed by sampling", n, name))
		}
	}
}

// vmsOf returns the VMs of entries, each once, in order of appearance.
func vmsOf(entries []timeline.Entry) []string {
	var out []string
	for _, e := range entries {
		if !slices.Contains(out, e.VM) {
			out = append(out, e.VM)
		}
	}
	return out
}
