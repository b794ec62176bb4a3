// Package exchange shares between the daemons how much work each of them has at
// which engine, and which engines are about to load weights. They also share
// which prompt prefixes engines computed, when weights versions were announced,
// and how far each daemon has read the configuration's log.
//
// Each pair of daemons exchanges states in one call per period. The period grows
// with the number of daemons, so that the bytes per second of one daemon don't.
// Notices about engines go to all daemons at once down a broadcast tree, and are
// repeated with each state for a short time in case a call is lost.
package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/balance"
	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fairness"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/peer"
	"currantpulley/internal/placement/pace"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/ratelimit"
)

const (
	periodMin    = 150 * time.Millisecond // shortest period
	periodPerVM  = 10 * time.Millisecond  // of the period, for each live VM
	callTimeout  = 300 * time.Millisecond
	stalePeriods = 4  // periods after which the work of a daemon without new states is dropped
	heldPeriods  = 2  // periods for which a computed prefix is sent
	maxHeld      = 24 // maximum number of computed prefixes in one state
)

// Use is a daemon's own work at one engine.
type Use struct {
	Upstream uint32 // short id of the engine's catalog.Key
	balance.Use
}

// Announcement is a weights version of a model and the time since it was first
// announced.
type Announcement struct {
	Model    string
	Weights  uint64
	Age      time.Duration
	Observed bool // see catalog.Announcement
}

// Options configures an Exchange.
type Options struct {
	Loop     *loop.Loop
	Pool     *peer.Pool
	Self     string
	View     func() fleet.View
	Recorder event.Recorder

	// Collect returns this daemon's own work. It is called on the control
	// goroutine, like all functions below but OnProof.
	Collect func() []Use
	// Apply sets another daemon's work, which is valid until the next call for
	// that daemon, and for lifetime at most.
	Apply func(vm string, uses []Use, lifetime time.Duration)
	// ComputedPrefixes returns up to limit prompt prefixes that engines
	// computed for this daemon within the last window.
	ComputedPrefixes func(window time.Duration, limit int) []balance.Held
	// OnComputedPrefixes applies prompt prefixes that engines computed for
	// another daemon.
	OnComputedPrefixes func(held []balance.Held)
	// Announcements returns the newest weights versions that this daemon knows
	// to be announced.
	Announcements func() []Announcement
	// OnAnnouncement applies a weights version that another daemon reported.
	OnAnnouncement func(a Announcement)
	// Proof returns the position up to which this daemon has read the
	// configuration's log, and how long ago that was known to be the end of the
	// log. The result is false if it never was.
	Proof func() (position int64, age time.Duration, ok bool)
	// OnProof applies another daemon's proof, which was valid at the instant.
	OnProof func(position int64, at freshness.Instant)
	// OnNotice applies another daemon's notice.
	OnNotice func(n Notice)
	// Suspect returns the evidence against a quarantined part of prompts, each time
	// another one; nil or false: none.
	Suspect func() (quarantine.Suspect, bool)
	// CutOff reports whether this daemon reaches no upstreams itself; nil: false.
	CutOff func() bool
	// OnCutOff applies whether another daemon reaches no upstreams itself. It holds for
	// lifetime at most; nil: not called.
	OnCutOff func(vm string, cutOff bool, lifetime time.Duration)
	// Limit returns the limit that an upstream states, each time of another one; nil or
	// false: none.
	Limit func() (ratelimit.Statement, bool)
	// WorkspaceUses returns this daemon's work in progress by workspace; nil: none.
	WorkspaceUses func() []fairness.Use
	// OnWorkspaceUses applies another daemon's work in progress by workspace. It holds for
	// lifetime at most; nil: not called.
	OnWorkspaceUses func(vm string, uses []fairness.Use, lifetime time.Duration)
	// Quotas moves tokens of quotas with the states; nil: none move.
	Quotas Quotas
	// Paces returns what the answers within the last window show of at most limit
	// upstreams' paces; nil: nothing.
	Paces func(window time.Duration, limit int) []pace.Claim
	// OnPaces applies what the answers to another daemon show of upstreams' paces; nil: not
	// called.
	OnPaces func(vm string, claims []pace.Claim)
}

// Exchange runs the protocol. Its state is owned by the control goroutine.
type Exchange struct {
	exchangepb.UnimplementedExchangeServer
	opts        Options
	incarnation uint64
	sequence    uint64
	lastState   map[string]stateID // newest state applied, by daemon
	notices     notices
}

// stateID orders the states of a daemon.
type stateID struct{ incarnation, sequence uint64 }

// New returns an Exchange that has not received any state.
func New(o Options) *Exchange {
	return &Exchange{
		opts: o, incarnation: uint64(time.Now().UnixNano()),
		lastState: make(map[string]stateID), notices: newNotices(),
	}
}

// Register registers the gRPC service with server.
func (e *Exchange) Register(server *grpc.Server) { exchangepb.RegisterExchangeServer(server, e) }

// Run exchanges states with the other daemons once per period, with jitter,
// until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	for {
		live := e.opts.View().Live()
		wait := period(len(live))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait - wait/10 + rand.N(wait/5)):
		}
		for _, vm := range callees(live, e.opts.Self) {
			go e.exchangeWith(ctx, vm)
		}
	}
}

// period returns the time between two exchanges of a pair, for a number of live
// daemons.
func period(live int) time.Duration {
	return max(periodMin, time.Duration(live)*periodPerVM)
}

// Period returns the time between two exchanges of this daemon with another one.
func (e *Exchange) Period() time.Duration { return period(e.opts.View().LiveCount()) }

// callees returns the daemons that self calls. Of each pair one daemon calls the
// other, and each daemon calls about half of the others.
func callees(live []fleet.VM, self string) []fleet.VM {
	at := -1
	for i, vm := range live {
		if vm.Name == self {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	n := len(live)
	var out []fleet.VM
	for step := 1; step <= n/2; step++ {
		if 2*step == n && at >= n/2 {
			continue // the other daemon of the pair calls
		}
		out = append(out, live[(at+step)%n])
	}
	return out
}

// exchangeWith sends this daemon's state to vm and applies the state in the reply.
func (e *Exchange) exchangeWith(ctx context.Context, vm fleet.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var state *exchangepb.State
	if e.opts.Loop.Do(ctx, func(now time.Time) { state = e.stateFor(vm.Name, now) }) != nil {
		return
	}
	sent := freshness.Now()
	conn, err := e.opts.Pool.Conn(vm.PeerAddress)
	if err == nil {
		state, err = exchangepb.NewExchangeClient(conn).Tell(ctx, state)
	}
	if err != nil {
		err = failure.At("exchange", vm.Name, err)
		e.opts.Recorder.Record(event.Event{ID: event.LoadSpreadFailed, Peer: vm.Name, Step: "exchange", Err: err})
		e.quotaPeerLost(vm.Name, err)
		return
	}
	// Proofs are only taken from replies, whose age counts from a known instant:
	// a request may have spent an unknown time in a buffer.
	if p := state.GetProof(); p != nil {
		e.opts.OnProof(p.GetPosition(), sent.Add(-time.Duration(p.GetAgeMs())*time.Millisecond))
	}
	e.opts.Loop.Post(func(time.Time) {
		if e.applyState(state) {
			e.applyDeposits(state, freshness.Now().Sub(sent))
		}
	})
}

// Tell implements the gRPC service.
func (e *Exchange) Tell(ctx context.Context, s *exchangepb.State) (*exchangepb.State, error) {
	var reply *exchangepb.State
	err := e.opts.Loop.Do(ctx, func(now time.Time) {
		if e.applyState(s) {
			e.applyDeposits(s, 0)
		}
		reply = e.stateFor(s.GetVm(), now)
	})
	return reply, err
}

// state builds this daemon's state. It must be called on the control goroutine.
func (e *Exchange) state(now time.Time) *exchangepb.State {
	e.sequence++
	s := &exchangepb.State{Vm: e.opts.Self, Incarnation: e.incarnation, Sequence: e.sequence}
	for _, u := range e.opts.Collect() {
		use := &exchangepb.Use{
			Upstream: u.Upstream, Requests: uint32(u.Requests), Fixed: uint32(u.NotResumable),
			Tokens: uint32(u.Tokens), Failing: u.Failing,
		}
		encodeUrgencies(use, &u.Use)
		s.Uses = append(s.Uses, use)
	}
	for _, h := range e.opts.ComputedPrefixes(heldPeriods*period(e.opts.View().LiveCount()), maxHeld) {
		s.Held = append(s.Held, &exchangepb.Held{Prefix: h.Prefix, Upstream: h.Holder, Coming: h.Pending})
	}
	for _, a := range e.opts.Announcements() {
		s.Namings = append(s.Namings, &exchangepb.Naming{Model: a.Model, Weights: a.Weights, AgeMs: uint32(a.Age.Milliseconds()), Observed: a.Observed})
	}
	if position, age, ok := e.opts.Proof(); ok {
		s.Proof = &exchangepb.Proof{Position: position, AgeMs: uint32(age.Milliseconds()) + 1}
	}
	s.Notices = e.notices.repeated(now, repeatTime(e.opts.View().LiveCount()))
	s.Suspects = e.suspects()
	s.Limits = e.limits()
	s.WorkspaceUses = e.workspaceUses()
	s.Paces = e.paces()
	s.CutOff = e.opts.CutOff != nil && e.opts.CutOff()
	return s
}

// applyState applies another daemon's state unless a newer one was applied, and reports
// whether it did. It must be called on the control goroutine.
func (e *Exchange) applyState(s *exchangepb.State) bool {
	old := e.lastState[s.GetVm()]
	if s.GetIncarnation() < old.incarnation || (s.GetIncarnation() == old.incarnation && s.GetSequence() <= old.sequence) {
		return false
	}
	e.lastState[s.GetVm()] = stateID{s.GetIncarnation(), s.GetSequence()}
	uses := make([]Use, 0, len(s.GetUses()))
	for _, u := range s.GetUses() {
		uses = append(uses, Use{u.GetUpstream(), balance.Use{
			Requests: int(u.GetRequests()), NotResumable: int(u.GetFixed()),
			Tokens: int(u.GetTokens()), Failing: u.GetFailing(), ByUrgency: decodeUrgencies(u),
		}})
	}
	lifetime := stalePeriods * period(e.opts.View().LiveCount())
	e.opts.Apply(s.GetVm(), uses, lifetime)
	if e.opts.OnCutOff != nil {
		e.opts.OnCutOff(s.GetVm(), s.GetCutOff(), lifetime)
	}
	held := make([]balance.Held, 0, len(s.GetHeld()))
	for _, h := range s.GetHeld() {
		held = append(held, balance.Held{Prefix: h.GetPrefix(), Holder: h.GetUpstream(), Pending: h.GetComing()})
	}
	e.opts.OnComputedPrefixes(held)
	for _, a := range s.GetNamings() {
		e.opts.OnAnnouncement(Announcement{
			Model: a.GetModel(), Weights: a.GetWeights(), Age: time.Duration(a.GetAgeMs()) * time.Millisecond, Observed: a.GetObserved(),
		})
	}
	now := time.Now()
	for _, n := range s.GetNotices() {
		e.applyNotice(s.GetVm(), s.GetIncarnation(), n, withState, now)
	}
	e.applySuspects(s.GetSuspects())
	e.applyLimits(s.GetLimits())
	e.applyWorkspaceUses(s.GetVm(), s.GetWorkspaceUses(), lifetime)
	e.applyPaces(s)
	return true
}

// encodeUrgencies sets the urgencies of u's work in use. Most engines have work of one.
func encodeUrgencies(use *exchangepb.Use, u *balance.Use) {
	for urgency, part := range u.ByUrgency {
		switch part {
		case balance.UrgencyUse{}:
		case balance.UrgencyUse{Requests: u.Requests, Tokens: u.Tokens}:
			use.Urgency = uint32(urgency)
		default:
			use.Later = append(use.Later, &exchangepb.UrgencyUse{Urgency: uint32(urgency), Requests: uint32(part.Requests), Tokens: uint32(part.Tokens)})
		}
	}
}

// decodeUrgencies is the inverse of encodeUrgencies. It leaves out urgencies that this
// build doesn't know: their work counts as the most urgent.
func decodeUrgencies(use *exchangepb.Use) (out [balance.Urgencies]balance.UrgencyUse) {
	set := func(urgency, requests, tokens uint32) {
		if urgency > 0 && urgency < balance.Urgencies {
			out[urgency] = balance.UrgencyUse{Requests: int(requests), Tokens: int(tokens)}
		}
	}
	set(use.GetUrgency(), use.GetRequests(), use.GetTokens())
	for _, part := range use.GetLater() {
		set(part.GetUrgency(), part.GetRequests(), part.GetTokens())
	}
	return out
}
