package exchange

import (
	"context"
	"maps"
	"math"
	"time"

	"currantpulley/internal/control/broadcast"
	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/ratelimit"
)

const (
	// noticeRepeatTime is the least time for which a notice is sent with each state.
	noticeRepeatTime = time.Second
	// noticeRepeatPeriods is the same in periods: each pair exchanges at least once.
	noticeRepeatPeriods = 2
	// noticeBatchTime is the wait for further notices before they are sent in one
	// call.
	noticeBatchTime = 10 * time.Millisecond
	// noticeMemory is the time for which the number of a notice is remembered to
	// detect repeated and overtaken ones. It exceeds the time for which they are sent.
	noticeMemory = 20 * time.Second
)

// repeatTime returns the time for which a notice is sent with each state.
func repeatTime(live int) time.Duration {
	return max(noticeRepeatTime, noticeRepeatPeriods*period(live))
}

// Notice announces that an engine is about to load weights or has loaded them,
// that an upstream departs, the state of a store of cache entries, evidence against a
// part of prompts, or an upstream's limit.
type Notice struct {
	Upstream uint32        // short id of the upstream or store
	Closed   bool          // the upstream gets no new work
	TTL      time.Duration // for which a closed upstream stays closed without another notice
	Model    string
	Weights  uint64               // version that is served; 0: unknown
	Token    uint64               // fencing token of the ordering daemon, or the epoch of a store
	Suspect  *quarantine.Suspect  // not nil: the evidence, and no other field is set
	Limit    *ratelimit.Statement // not nil: the limit, and no other field is set
}

// subject returns what the notice is about. A later notice of the same subject replaces
// the earlier one. Short ids of upstreams have 32 bits, parts have 64.
func (n *Notice) subject() uint64 {
	switch {
	case n.Suspect != nil:
		return uint64(n.Suspect.Part)
	case n.Limit != nil:
		return limitSubject | uint64(n.Limit.Upstream)
	}
	return uint64(n.Upstream)
}

// limitSubject distinguishes notices about an upstream's limit from others about it.
const limitSubject = 1 << 32

// announced is a notice of this daemon and the time at which it was announced.
type announced struct {
	Notice
	number uint64 // grows with each notice of this daemon
	at     time.Time
}

// message returns the notice as it is sent at now.
func (a announced) message(now time.Time) *exchangepb.Notice {
	if a.Limit != nil {
		return &exchangepb.Notice{Number: a.number, Limit: encodeLimit(*a.Limit)}
	}
	return &exchangepb.Notice{
		Upstream: a.Upstream, Closed: a.Closed, Milliseconds: uint32(max(0, a.TTL-now.Sub(a.at)).Milliseconds()),
		Model: a.Model, Weights: a.Weights, Token: a.Token, Number: a.number, Suspect: a.suspect(now),
	}
}

// suspect returns the evidence as it is sent at now; nil: the notice has none.
func (a announced) suspect(now time.Time) *exchangepb.Suspect {
	if a.Suspect == nil {
		return nil
	}
	return encodeSuspect(a.Suspect.Older(now.Sub(a.at)))
}

// noticeSource is a daemon that sends notices about a subject; see Notice.subject.
type noticeSource struct {
	origin  string
	subject uint64
}

// noticeID orders the notices of one source.
type noticeID struct {
	incarnation, number uint64
	level               int       // lowest level from which it was forwarded; withState: not yet
	at                  time.Time // of its arrival
}

// before reports whether the notice is older than the one with the given
// incarnation and number.
func (id noticeID) before(incarnation, number uint64) bool {
	return id.incarnation < incarnation || (id.incarnation == incarnation && id.number < number)
}

// notices holds this daemon's own notices and what it knows of those of others.
// It is owned by the control goroutine.
type notices struct {
	own      map[uint64]announced // by Notice.subject
	last     uint64               // number of the newest own notice
	sent     uint64               // number of the newest own notice that was sent
	batching bool                 // a batch will be sent within noticeBatchTime
	received map[noticeSource]noticeID
	sweptAt  time.Time // last removal from received
}

func newNotices() notices {
	return notices{own: make(map[uint64]announced), received: make(map[noticeSource]noticeID)}
}

// add adds an own notice.
func (ns *notices) add(n Notice, now time.Time) {
	ns.last++
	ns.own[n.subject()] = announced{n, ns.last, now}
}

// batch returns the own notices that were not sent yet.
func (ns *notices) batch(now time.Time) []*exchangepb.Notice {
	var out []*exchangepb.Notice
	for _, a := range ns.own {
		if a.number > ns.sent {
			out = append(out, a.message(now))
		}
	}
	ns.sent = ns.last
	return out
}

// repeated returns the own notices that are not older than repeat and removes the
// others.
func (ns *notices) repeated(now time.Time, repeat time.Duration) []*exchangepb.Notice {
	var out []*exchangepb.Notice
	for id, a := range ns.own {
		age := now.Sub(a.at)
		if age > repeat || (a.Closed && age >= a.TTL) {
			delete(ns.own, id)
			continue
		}
		out = append(out, a.message(now))
	}
	return out
}

// withState is the level of a notice that came with a state, not down the broadcast
// tree. It is above all levels of the tree.
const withState = math.MaxInt

// record notes that a notice of origin arrived, to be forwarded from level on. It
// reports whether to apply it, which is so for the first time unless a later one
// about the same upstream came before, and whether to forward it: paths of the tree
// may meet, and the longer one may be the first to arrive. A notice without a
// number is always applied.
func (ns *notices) record(origin string, incarnation uint64, n *exchangepb.Notice, level int, now time.Time) (apply, forward bool) {
	ns.sweep(now)
	if n.GetNumber() == 0 {
		return true, level < withState
	}
	decoded := decodeNotice(n)
	source := noticeSource{origin, decoded.subject()}
	known := ns.received[source]
	apply = known.before(incarnation, n.GetNumber())
	if apply {
		known = noticeID{incarnation, n.GetNumber(), withState, now}
	}
	isSame := known.incarnation == incarnation && known.number == n.GetNumber()
	forward = isSame && level < known.level
	if forward {
		known.level = level
	}
	ns.received[source] = known
	return apply, forward
}

// sweep forgets the numbers of notices that arrived more than noticeMemory ago.
func (ns *notices) sweep(now time.Time) {
	if now.Sub(ns.sweptAt) < noticeMemory {
		return
	}
	ns.sweptAt = now
	maps.DeleteFunc(ns.received, func(_ noticeSource, id noticeID) bool { return now.Sub(id.at) > noticeMemory })
}

// Announce sends a notice to all daemons at once, without waiting for answers.
func (e *Exchange) Announce(ctx context.Context, n Notice) {
	e.opts.Loop.Post(func(now time.Time) {
		e.notices.add(n, now)
		if e.notices.batching {
			return
		}
		e.notices.batching = true
		time.AfterFunc(noticeBatchTime, func() { e.opts.Loop.Post(func(now time.Time) { e.sendBatch(ctx, now) }) })
	})
}

// sendBatch sends the notices that were not sent yet. It must be called on the
// control goroutine.
func (e *Exchange) sendBatch(ctx context.Context, now time.Time) {
	e.notices.batching = false
	if batch := e.notices.batch(now); len(batch) > 0 {
		go e.forward(ctx, 0, &exchangepb.RelayRequest{Origin: e.opts.Self, Incarnation: e.incarnation, Notices: batch})
	}
}

// forward sends the notices of r down the broadcast tree from level first on.
func (e *Exchange) forward(ctx context.Context, first int, r *exchangepb.RelayRequest) {
	ring := broadcast.NewRing(e.opts.View().Live(), e.opts.Self)
	ring.Send(first, func(vm fleet.VM, level int) error {
		err := e.sendRelay(ctx, vm, &exchangepb.RelayRequest{
			Origin: r.GetOrigin(), Incarnation: r.GetIncarnation(), Level: uint32(level), Notices: r.GetNotices(),
		})
		if err != nil {
			e.opts.Recorder.Record(event.Event{ID: event.LoadSpreadFailed, Peer: vm.Name, Step: "relay notices", Err: failure.At("relay notices", vm.Name, err)})
		}
		return err
	})
}

// sendRelay sends r to vm.
func (e *Exchange) sendRelay(ctx context.Context, vm fleet.VM, r *exchangepb.RelayRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := e.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return err
	}
	_, err = exchangepb.NewExchangeClient(conn).Relay(ctx, r)
	return err
}

// Relay implements the gRPC service: it applies notices and forwards those that
// were not forwarded from this level or a lower one before.
func (e *Exchange) Relay(ctx context.Context, r *exchangepb.RelayRequest) (*exchangepb.RelayReply, error) {
	if r.GetOrigin() == e.opts.Self {
		return &exchangepb.RelayReply{}, nil // the last path around the ring ends where it began
	}
	forwarded := &exchangepb.RelayRequest{Origin: r.GetOrigin(), Incarnation: r.GetIncarnation()}
	err := e.opts.Loop.Do(ctx, func(now time.Time) {
		for _, n := range r.GetNotices() {
			if e.applyNotice(r.GetOrigin(), r.GetIncarnation(), n, int(r.GetLevel()), now) {
				forwarded.Notices = append(forwarded.Notices, n)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(forwarded.GetNotices()) > 0 {
		go e.forward(context.WithoutCancel(ctx), int(r.GetLevel()), forwarded)
	}
	return &exchangepb.RelayReply{}, nil
}

// applyNotice applies a notice of another daemon if it is new and reports whether
// to forward it from level on. It must be called on the control goroutine.
func (e *Exchange) applyNotice(origin string, incarnation uint64, n *exchangepb.Notice, level int, now time.Time) (forward bool) {
	apply, forward := e.notices.record(origin, incarnation, n, level, now)
	if apply {
		e.opts.OnNotice(decodeNotice(n))
	}
	return forward
}

// decodeNotice returns the notice in a message.
func decodeNotice(n *exchangepb.Notice) Notice {
	if s := n.GetSuspect(); s != nil {
		suspect := decodeSuspect(s)
		return Notice{Suspect: &suspect}
	}
	if l := n.GetLimit(); l != nil {
		limit := decodeLimit(l)
		return Notice{Limit: &limit}
	}
	return Notice{
		Upstream: n.GetUpstream(), Closed: n.GetClosed(), TTL: milliseconds(n.GetMilliseconds()),
		Model: n.GetModel(), Weights: n.GetWeights(), Token: n.GetToken(),
	}
}

// milliseconds returns the duration of n milliseconds.
func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
