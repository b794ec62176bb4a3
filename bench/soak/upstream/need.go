package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// CrashStatus is the exit status of an upstream that ended under a request.
const CrashStatus = 3

// noteCrash notes in a under which part of the prompt, or under which request, the
// upstream is about to end, and reports whether it is.
func (u *Upstream) noteCrash(r *http.Request, a *record.Arrival) bool {
	for _, f := range u.opts.Plan.Faults { // also after the fault, which requests may outlast
		switch {
		case f.Kind == plan.CrashingPart && u.service == site.Engine && strings.Contains(r.Header.Get(names.PromptParts), f.HarmfulID()+":"):
			a.Trouble, a.Part = f.Kind, f.HarmfulID()
			return true
		case f.Kind == plan.CrashingRequest && r.URL.Path == site.RouteSafe.Prefix+f.HarmfulID():
			a.Trouble, a.Same = f.Kind, f.HarmfulID()
			return true
		}
	}
	return false
}

// crash begins to answer a request, half of the plain ones, and ends the process. Its
// port refuses connections before the answer ends: the kernel closes a process's files
// in the order of their numbers, and a connection may have a lower one than the port.
func (u *Upstream) crash(c net.Conn, a record.Arrival) {
	time.Sleep(u.between(minWork, maxWork))
	if a.Same != "" && u.chance(0.5) {
		os.Exit(CrashStatus)
	}
	_, _ = io.WriteString(c, u.head(response{status: http.StatusOK, attempt: a.Attempt, seal: u.nextSeal(), unframed: true}))
	time.Sleep(u.between(minWork, maxWork))
	u.crashing.Store(true)
	_ = u.listener.Close()
	os.Exit(CrashStatus)
}

// statedLimit returns the limit that the upstream states now, 0 if it states none.
func (u *Upstream) statedLimit() float64 {
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, func(k string) bool { return k == plan.StatedLimit }) {
		return f.Limit()
	}
	return 0
}

// wantedPause returns the time for which the upstream wants no requests now, 0 if it
// takes them.
func (u *Upstream) wantedPause() time.Duration {
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, func(k string) bool { return k == plan.AskPause }) {
		return f.Pause()
	}
	return 0
}

// isLeaving reports whether the upstream says that it leaves.
func (u *Upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// brittleFault returns the fault during which the upstream is brittle now.
func (u *Upstream) brittleFault() (plan.Fault, bool) {
	if u.service != site.Plain {
		return plan.Fault{}, false
	}
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, func(k string) bool { return k == plan.Brittle }) {
		return f, true
	}
	return plan.Fault{}, false
}

// rejectForRoom notes that the upstream rejects a request for want of room. If it is
// brittle and rejects too many, its process ends.
func (u *Upstream) rejectForRoom(a record.Arrival) {
	now := time.Now()
	u.mu.Lock()
	u.rejections = slices.DeleteFunc(append(u.rejections, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	tooMany := len(u.rejections) > plan.BrittleRejects
	u.mu.Unlock()
	f, brittle := u.brittleFault()
	if !brittle || !tooMany || now.Sub(u.opts.Plan.Start) < f.From+plan.BrittleNotice {
		return
	}
	a.Trouble, a.Fell = plan.Brittle, true
	u.record(a)
	os.Exit(CrashStatus)
}
