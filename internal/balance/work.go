package balance

import (
	"math"
	"slices"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/crossing"
	"currantpulley/internal/placement/cost"
)

// Part is one part of a prompt. Requests that share leading parts share the
// cache entries computed from them.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Model  string
	Tokens int // of the prompt
	Output int // tokens expected in the answer
	Parts  []Part
}

// group returns the id of the part by which requests are grouped: the last
// part that other requests may have too. The very last part is unique to the
// request, unless it is the only one.
func (p *Prompt) group() string {
	switch n := len(p.Parts); n {
	case 0:
		return ""
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// sharedTokens returns the tokens of the parts that other requests may have too.
func (p *Prompt) sharedTokens() int {
	tokens := 0
	for i := range len(p.Parts) - 1 {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// long reports whether the prefill of the prompt is long enough to delay the
// answers that an engine is decoding.
func (p *Prompt) long() bool { return p.Tokens >= longTokens }

// Work is a request as the balancer sees it.
type Work struct {
	Service   string
	Prompt    *Prompt // nil: a plain call
	Group     string  // of workspaces that may share cache entries
	Resumable bool    // may continue at another upstream after it began
	Urgency   int     // engines run work with a lower one first
	Left      TimeLeft
	Bytes     int    // of the request and the expected answer
	Hash      uint64 // of the request's id
	Tried     []catalog.Key
	// Reached lists the addresses to which the request was sent. It goes to none of them
	// again, under no upstream: what an upstream said of the first send could be taken for
	// its word on the second.
	Reached []string
	Build   catalog.Build // of the upstreams that may run it; 0: any
	// CallerResumes tells that the caller may resume the stream through another daemon,
	// which then has to know the build that began it.
	CallerResumes bool
	// Received is the number of events of the answer that the caller has already. Each
	// brings a token or more, which the upstream doesn't make again.
	Received uint64
}

// urgency returns w.Urgency within its range.
func (w *Work) urgency() int { return min(max(0, w.Urgency), Urgencies-1) }

// output returns the number of tokens that the answer is expected to bring yet; 0: it isn't
// known.
func (w *Work) output() int {
	if w.Prompt == nil || w.Prompt.Output <= 0 {
		return 0
	}
	return max(1, w.Prompt.Output-int(min(w.Received, math.MaxInt32)))
}

// Served returns the time that the upstream is expected to work on the request itself, from
// its start to the end of its answer.
func (p *Pick) Served() time.Duration {
	return max(0, p.medianWait-p.Ahead) + p.Expected.Whole - p.Expected.First
}

// needsOrigin reports whether the upstream's build must be known later on.
func (w *Work) needsOrigin() bool { return w.CallerResumes && w.Build == 0 }

// wasTried reports whether u, or another upstream at its address, got the request before.
func (w *Work) wasTried(u *catalog.Upstream) bool {
	return slices.Contains(w.Tried, u.Key()) || slices.Contains(w.Reached, u.Address)
}

// Load is the load that an upstream reports in an answer.
type Load struct {
	Running  int // requests
	Waiting  int // requests
	Slots    int
	Slowdown float64 // time that work takes, relative to normal; 0: not reported
}

// Pick is the upstream chosen for one attempt of a request. Callers report the
// attempt's progress with Began and Done.
type Pick struct {
	Upstream      *catalog.Upstream
	Version       uint64          // weights version to expect; 0: any
	Wait          time.Duration   // expected until the first byte, to compare upstreams
	Ahead         time.Duration   // part of Wait caused by work that goes before the request
	Expected      Expected        // when the answer comes
	Late          time.Duration   // by how much the answer comes later than the caller waits, here and at least as much elsewhere; 0: not later
	RetryAfter    time.Duration   // time until a caller that waits as long is answered in time; 0: now
	Fetch         string          // address of an engine or a store that probably holds the prompt's parts; empty: none
	Save          string          // address of the store that should receive them; empty: none
	Held          int             // tokens of the prompt that the upstream probably holds
	Fetched       int             // further tokens that it gets from Fetch
	prefillTokens int             // of the prompt, not computed yet
	engines       int             // of the service
	capacity      float64         // tokens that one of them has room for; 0: not known
	prefixes      []uint64        // hashes of the prompt's leading parts
	storeID       uint32          // catalog.CacheStore.ShortID of the store at Save; 0: none
	notResumable  bool            // can't continue at another upstream
	Left          crossing.Reason // why it is in another data centre than the caller's daemon
	score         time.Duration   // see Balancer.scoreUpstream; less is better
	partsCost     time.Duration   // the part of score that depends on where parts of the prompt are kept
	risky         bool            // may be rejected by a brittle upstream
	unavailable   bool            // the upstream is closed or in backoff
	unkept        bool            // the daemons may forget the upstream's build, so that the caller can't resume the stream
	prompt        *Prompt         // nil: a plain call
	output        int             // see Work.output
	medianWait    time.Duration   // until the first token, or until a call's answer
	rounds        float64         // calls that its slot runs until the answer, p's included
	queued        bool            // waits for a slot
	overdue       bool            // has waited for longer than was allowed for; see timing.observeLongWait
	endOverdue    bool            // the same of its whole answer; see timing.observeLongAnswer
	urgency       int             // see Work.Urgency
	slow          float64         // time that work takes at the upstream, relative to the usual
	pace          float64         // the part of slow that the upstream doesn't state itself
	overPace      bool            // takes much longer than usual to begin; see Balancer.observeOverdue
	transfer      time.Duration   // of the tokens from Fetch
	first         cost.Work       // that the engine does before the first token, at the usual speed
	pickedAt      time.Time
	beganAt       time.Time // when the answer began; zero: it has not
	state         *upstreamState
}
