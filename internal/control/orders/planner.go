package orders

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/lease"
	"currantpulley/internal/upstream"
)

const (
	pollConverged = 3 * time.Second        // between polls of an engine that has converged
	pollDiverged  = 250 * time.Millisecond // between polls of any other engine
	orderBackoff  = time.Second            // after an order that failed
	defaultGroup  = "default"              // of upstreams without a group
)

// Leases is the part of lease.Leases that the planner needs.
type Leases interface {
	Acquire(now time.Time, lease string, d time.Duration, version uint64)
	Release(lease string)
	Abandon(lease string)
	HeldByOther(now time.Time, lease string) bool
	Held(now time.Time, lease string) (lease.Token, bool)
}

// servingFunc reports whether the router may now send requests for model to the
// upstream.
type servingFunc func(upstream, model string) bool

// dispatch is an order that may be sent while all of its lease tokens are valid.
type dispatch struct {
	target  *target
	order   upstream.Order
	tokens  []lease.Token
	timeout time.Duration
}

// valid reports whether all tokens are valid. It is checked right before the
// order is sent.
func (d *dispatch) valid(now time.Time) bool {
	for _, t := range d.tokens {
		if !t.Valid(now) {
			return false
		}
	}
	return true
}

// planner decides which engines to poll and what to order. It does no I/O.
type planner struct {
	leases  Leases
	config  *config.Config
	version uint64
	targets map[string]*target
	changed func(s Status) // called when a phase or a reason changes
}

func newPlanner(l Leases, changed func(Status)) *planner {
	return &planner{leases: l, targets: make(map[string]*target), changed: changed}
}

// configure sets the configuration in force and the groups that this daemon
// manages.
func (p *planner) configure(now time.Time, version uint64, c *config.Config, ownGroups map[string]bool) {
	p.removeTargets(now, c, ownGroups)
	p.config, p.version = c, version
	for name, u := range c.Upstreams {
		if u.Kind != config.KindEngine || !ownGroups[groupOf(u)] {
			continue
		}
		t := p.targets[name]
		if t == nil {
			t = &target{name: name, address: u.Address, slot: noSlot}
			t.status = Status{Upstream: name, Group: groupOf(u), Phase: Unread, Since: now}
			p.targets[name] = t
		}
		t.group, t.checksFencing, t.desired = groupOf(u), u.ChecksFencing, desiredOf(c, u)
	}
}

// removeTargets removes the targets that this daemon no longer manages. Their
// leases are released only if no order can still be in flight, and are left to
// expire otherwise.
func (p *planner) removeTargets(now time.Time, c *config.Config, ownGroups map[string]bool) {
	removed := make(map[string]bool) // groups with removed targets, and whether an order may be in flight
	for name, t := range p.targets {
		u := c.Upstreams[name]
		if u != nil && u.Kind == config.KindEngine && ownGroups[groupOf(u)] && t.address == u.Address {
			continue
		}
		delete(p.targets, name)
		removed[t.group] = removed[t.group] || t.orderPending(now)
		if t.slot != noSlot {
			p.leases.Abandon(p.slotLease(t.slot))
		}
	}
	for group, pending := range removed {
		if pending {
			p.leases.Abandon(p.groupLease(group))
		} else if !p.manages(group) {
			p.leases.Release(p.groupLease(group))
		}
	}
}

// manages reports whether any target is in the group.
func (p *planner) manages(group string) bool {
	for _, t := range p.targets {
		if t.group == group {
			return true
		}
	}
	return false
}

func groupOf(u *config.Upstream) string { return cmp.Or(u.Group, defaultGroup) }

func (p *planner) groupLease(group string) string { return "group/" + p.config.Site + "/" + group }

func (p *planner) slotLease(slot int) string {
	return "load/" + p.config.Site + "/" + strconv.Itoa(slot)
}

// duePolls returns the targets to poll now and marks them as being polled.
func (p *planner) duePolls(now time.Time) []*target {
	var out []*target
	for _, t := range p.sorted() {
		period := pollDiverged
		if t.converged() {
			period = pollConverged
		}
		if t.polling || t.ordering || now.Sub(t.readAt) < period {
			continue
		}
		t.polling, t.readAt = true, now
		out = append(out, t)
	}
	return out
}

// recordState applies the result of a poll.
func (p *planner) recordState(now time.Time, t *target, state *upstream.State, err error) {
	t.polling = false
	if err != nil {
		t.state = nil
		p.setPhase(now, t, Unreachable, "the engine's state can't be read")
		if !t.orderPending(now) && now.Sub(t.status.Since) > p.config.Orders.Delivery.Std() {
			t.slot = noSlot // the engine no longer loads, or was replaced
		}
		return
	}
	p.observe(now, t, state)
}

// observe applies a state that an engine has reported.
func (p *planner) observe(now time.Time, t *target, state *upstream.State) {
	t.state = state
	if state.Loading {
		p.setPhase(now, t, Loading, "")
		return
	}
	if !t.orderPending(now) {
		t.slot = noSlot
	}
	if t.converged() {
		p.setPhase(now, t, Converged, "")
	}
}

// recordOrder applies the result of an order. After an error the engine's state
// is read again before the next order. Unless the engine refused the order, it
// may still arrive, and no other order is sent until its delivery time is over.
func (p *planner) recordOrder(now time.Time, t *target, state *upstream.State, err error) {
	t.ordering = false
	if err == nil {
		p.observe(now, t, state)
		return
	}
	t.state, t.readAt = nil, time.Time{}
	t.backoffUntil = now.Add(orderBackoff)
	var refused *upstream.StatusError
	if !errors.As(err, &refused) {
		t.pendingUntil = now.Add(p.config.Orders.Delivery.Std())
	}
	p.setPhase(now, t, Waiting, reasonOf(err))
}

// reasonOf describes a failed order for operators.
func reasonOf(err error) string {
	var s *upstream.StatusError
	if !errors.As(err, &s) {
		return "it is not known whether the engine accepted the last order"
	}
	switch s.Status {
	case http.StatusConflict:
		return "the engine has seen a higher fencing token"
	case http.StatusServiceUnavailable:
		return "the engine or the weight store is busy"
	}
	return "the engine refused the last order: " + s.Error()
}

// plan returns the orders to send now and requests the leases that orders need.
func (p *planner) plan(now time.Time, serving servingFunc) []*dispatch {
	if p.config == nil {
		return nil
	}
	var out []*dispatch
	for _, group := range p.groups() {
		out = append(out, p.planGroup(now, group, serving)...)
	}
	p.releaseSlots(now)
	return out
}

// planGroup returns the orders to send now to the targets of one group. It keeps
// requesting the group's lease while any target needs it, and releases it
// otherwise.
func (p *planner) planGroup(now time.Time, group []*target, serving servingFunc) []*dispatch {
	name := p.groupLease(group[0].group)
	active := slices.ContainsFunc(group, func(t *target) bool {
		_, due := t.due()
		return due || t.orderPending(now) || t.slot != noSlot
	})
	if !active {
		p.leases.Release(name)
		return nil
	}
	p.leases.Acquire(now, name, p.config.Orders.Lease.Std(), p.version)
	token, held := p.leases.Held(now, name)
	var out []*dispatch
	for _, t := range group {
		order, due := t.due()
		if !due || t.orderPending(now) || now.Before(t.backoffUntil) {
			continue
		}
		if !held {
			p.setPhase(now, t, Waiting, "waiting for the lease of group "+t.group)
			continue
		}
		if d := p.dispatch(now, t, order, token, serving); d != nil {
			out = append(out, d)
		}
	}
	return out
}

// dispatch returns one order if it may be sent now. Otherwise it records why the
// order has to wait and returns nil.
func (p *planner) dispatch(now time.Time, t *target, order upstream.Order, token lease.Token, serving servingFunc) *dispatch {
	if earliest := p.safeReadTime(t, token); t.readAt.Before(earliest) {
		p.setPhase(now, t, Waiting, "waiting until no order of an earlier lease holder can be in flight")
		return nil
	}
	d := &dispatch{target: t, order: order, tokens: []lease.Token{token}, timeout: p.config.Orders.Delivery.Std()}
	if order.Action == actionLoad {
		if reason := p.reasonToKeepServing(t, serving); reason != "" {
			p.setPhase(now, t, Waiting, reason)
			return nil
		}
		slot, slotToken, ok := p.slot(now, order.Model)
		if !ok {
			p.setPhase(now, t, Waiting, "waiting for a free load slot of the weight store")
			return nil
		}
		t.slot = slot
		d.tokens = append(d.tokens, slotToken)
	}
	d.order.Fencing = token.Fencing
	t.ordering = true
	t.status.Fencing = token.Fencing
	p.setPhase(now, t, Ordering, order.Action)
	return d
}

// safeReadTime returns the earliest time at which the target's state must have
// been read for an order to be safe. An engine that checks fencing tokens
// refuses an order of an earlier holder that is still in flight. For any other
// engine, such an order must have arrived before the read.
func (p *planner) safeReadTime(t *target, token lease.Token) time.Time {
	if t.checksFencing || token.CleanHandover {
		return token.Since
	}
	return token.Since.Add(p.config.Orders.Delivery.Std())
}

// reasonToKeepServing returns why the target must not stop serving now, or an
// empty string if it may. A load stops an engine for all of its models.
func (p *planner) reasonToKeepServing(t *target, serving servingFunc) string {
	for _, model := range slices.Sorted(maps.Keys(t.desired.weights)) {
		if !serving(t.name, model) {
			continue
		}
		engines, others := 0, 0
		for name, u := range p.config.Upstreams {
			if u.Kind != config.KindEngine || !slices.Contains(u.Models, model) {
				continue
			}
			engines++
			if name != t.name && serving(name, model) && !p.loading(name) {
				others++
			}
		}
		need := min(int(math.Ceil(p.config.Orders.KeepShare*float64(engines))), engines-1)
		if others < need {
			return fmt.Sprintf("model %s has %d other engines serving and needs %d", model, others, need)
		}
	}
	return ""
}

// loading reports whether the named target has a load slot.
func (p *planner) loading(name string) bool {
	t := p.targets[name]
	return t != nil && t.slot != noSlot
}

// slot returns a free load slot for model, and requests the lease of one if none
// is held. The slots are leases, so that the lease holders of all groups share
// them. Each model uses only the first slots, no more than the number of its
// engines that may stop at once, so that several holders together can't stop too
// many of them.
func (p *planner) slot(now time.Time, model string) (int, lease.Token, bool) {
	usable := p.usableSlots(model)
	for slot := range usable {
		if p.slotUsed(slot) {
			continue
		}
		name := p.slotLease(slot)
		token, held := p.leases.Held(now, name)
		if held && (token.CleanHandover || now.Sub(token.Since) >= p.config.Orders.Delivery.Std()) {
			return slot, token, true
		}
		if held || !p.leases.HeldByOther(now, name) {
			p.leases.Acquire(now, name, p.config.Orders.Lease.Std(), p.version)
			break
		}
	}
	return 0, lease.Token{}, false
}

// usableSlots returns the number of slots that loads of model may use.
func (p *planner) usableSlots(model string) int {
	engines := 0
	for _, u := range p.config.Upstreams {
		if u.Kind == config.KindEngine && slices.Contains(u.Models, model) {
			engines++
		}
	}
	mayStop := int(math.Floor((1 - p.config.Orders.KeepShare) * float64(engines)))
	return min(max(1, p.config.Orders.ConcurrentLoads), max(1, mayStop))
}

func (p *planner) slotUsed(slot int) bool {
	for _, t := range p.targets {
		if t.slot == slot {
			return true
		}
	}
	return false
}

// releaseSlots releases the slots if no load is in progress and none is due in a
// group whose lease this daemon holds. A daemon that waits for a group's lease
// must not keep the lease's holder from loading.
func (p *planner) releaseSlots(now time.Time) {
	for _, t := range p.targets {
		if t.slot != noSlot {
			return
		}
		order, due := t.due()
		if !due || order.Action != actionLoad {
			continue
		}
		if _, held := p.leases.Held(now, p.groupLease(t.group)); held {
			return
		}
	}
	for slot := range max(1, p.config.Orders.ConcurrentLoads) {
		p.leases.Release(p.slotLease(slot))
	}
}

// setPhase sets a target's phase and reason and calls changed if either differs
// from before.
func (p *planner) setPhase(now time.Time, t *target, phase Phase, reason string) {
	if t.status.Phase == phase && t.status.Reason == reason {
		return
	}
	t.status.Phase, t.status.Reason, t.status.Since, t.status.Group = phase, reason, now, t.group
	p.changed(t.status)
}

// sorted returns the targets sorted by name.
func (p *planner) sorted() []*target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int { return cmp.Compare(a.name, b.name) })
}

// groups returns the targets by group, both sorted by name.
func (p *planner) groups() [][]*target {
	byGroup := make(map[string][]*target)
	for _, t := range p.sorted() {
		byGroup[t.group] = append(byGroup[t.group], t)
	}
	var out [][]*target
	for _, name := range slices.Sorted(maps.Keys(byGroup)) {
		out = append(out, byGroup[name])
	}
	return out
}

func (p *planner) status() []Status {
	var out []Status
	for _, t := range p.sorted() {
		out = append(out, t.status)
	}
	return out
}
