package orders

import (
	"maps"
	"slices"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/upstream"
)

// The actions of orders.
const (
	actionLoad    = "load"
	actionAdapter = "adapter"
	actionRole    = "role"
)

// Phase is an upstream's progress towards the state that the configuration
// specifies.
type Phase string

// Phases of an upstream.
const (
	Unread      Phase = "unread"      // the state has not been read yet
	Unreachable Phase = "unreachable" // the state can't be read
	Waiting     Phase = "waiting"     // an order is due but may not be sent yet
	Ordering    Phase = "ordering"    // an order was sent and has not been answered
	Loading     Phase = "loading"     // the engine loads weights
	Converged   Phase = "converged"   // the state is the configured one
)

// Status is an upstream's progress, for operators.
type Status struct {
	Upstream string    `json:"upstream"`
	Group    string    `json:"group"`
	Phase    Phase     `json:"phase"`
	Reason   string    `json:"reason,omitempty"`
	Fencing  uint64    `json:"fencing,omitempty"` // fencing token of the last order
	Since    time.Time `json:"since"`             // start of the phase or reason
}

// desired is the state that the configuration specifies for an engine.
type desired struct {
	weights  map[string]string // version by model
	adapters []string          // sorted
	role     string            // empty: any
}

func desiredOf(c *config.Config, u *config.Upstream) desired {
	d := desired{weights: make(map[string]string), role: u.Role}
	for _, name := range u.Models {
		m := c.Models[name]
		if m == nil {
			continue
		}
		if m.Weights != "" {
			d.weights[name] = m.Weights
		}
		d.adapters = append(d.adapters, m.Adapters...)
	}
	slices.Sort(d.adapters)
	d.adapters = slices.Compact(d.adapters)
	return d
}

// next returns the next order that brings state closer to d, without a fencing
// token. The result is false if no order is needed. The role comes first, since
// it decides how the engine uses the weights.
func (d desired) next(state *upstream.State) (upstream.Order, bool) {
	if d.role != "" && state.Role != d.role {
		return upstream.Order{Action: actionRole, Role: d.role}, true
	}
	for _, model := range slices.Sorted(maps.Keys(d.weights)) {
		if state.Weights[model] != d.weights[model] {
			return upstream.Order{Action: actionLoad, Model: model, Weights: d.weights[model]}, true
		}
	}
	for _, adapter := range d.adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return upstream.Order{Action: actionAdapter, Adapter: adapter}, true
		}
	}
	return upstream.Order{}, false
}

// noSlot is the slot of a target without a load slot.
const noSlot = -1

// target is an engine in a group that this daemon manages.
type target struct {
	name, group, address string
	checksFencing        bool
	desired              desired

	state        *upstream.State // nil: unreachable or not read yet
	readAt       time.Time       // when the poll that returned state was sent
	polling      bool
	ordering     bool
	slot         int       // load slot in use, or noSlot
	backoffUntil time.Time // no order is sent before then

	pendingUntil time.Time // an order with an unknown outcome may arrive until then
	status       Status
}

// orderPending reports whether an order may be in flight.
func (t *target) orderPending(now time.Time) bool { return t.ordering || now.Before(t.pendingUntil) }

// due returns the order that the target needs now.
func (t *target) due() (upstream.Order, bool) {
	if t.state == nil || t.state.Loading {
		return upstream.Order{}, false
	}
	return t.desired.next(t.state)
}

// converged reports whether the engine is in the desired state and no order is
// in flight.
func (t *target) converged() bool {
	if t.state == nil || t.state.Loading || t.ordering {
		return false
	}
	_, due := t.desired.next(t.state)
	return !due
}
