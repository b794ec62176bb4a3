package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// CrashStatus is the exit status of an upstream that ended under a request.
const CrashStatus = 3

// crashingPart returns the part of a request's prompt under which engines end now, ""
// if there is none.
func (u *Upstream) crashingPart(r *http.Request) string {
	if u.service != site.Engine {
		return ""
	}
	for _, f := range u.opts.Plan.Faults { // also after the fault, which requests may outlast
		if f.Kind == plan.CrashingPart && strings.Contains(r.Header.Get(names.PromptParts), f.PartID()+":") {
			return f.PartID()
		}
	}
	return ""
}

// crash begins to answer a request and ends the process.
func (u *Upstream) crash(c net.Conn, r *http.Request, a record.Arrival) {
	time.Sleep(u.between(minWork, maxWork))
	_, _ = io.WriteString(c, u.head(response{status: http.StatusOK, attempt: a.Attempt, seal: u.nextSeal(), unframed: true}))
	time.Sleep(u.between(minWork, maxWork))
	os.Exit(CrashStatus)
}

// statedLimit returns the limit that the upstream states now, 0 if it states none.
func (u *Upstream) statedLimit() float64 {
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, func(k string) bool { return k == plan.StatedLimit }) {
		return f.Limit()
	}
	return 0
}
