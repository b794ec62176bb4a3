// Package admission orders the requests that wait at a daemon. Workspaces share
// service in proportion to their weights. Short work does not wait behind long
// work of its workspace, and the caller's priority orders requests within a
// workspace. Requests that waited for the ageing time go first, so that none
// starves.
//
// The order is that of start-time fair queueing (Goyal, Vin and Cheng, 1996),
// by finish times. A flow consists of the requests of one workspace and class.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// serviceRateTime is the time constant of the average rate of service.
const serviceRateTime = 2 * time.Second

// Item is a waiting request.
type Item[T any] struct {
	Workspace string
	Weight    float64       // of the workspace; 0 or less: 1
	Long      bool          // class of work
	Priority  int           // lower first
	Cost      time.Duration // upstream time that the request takes
	Enqueued  time.Time
	Value     T

	sequence uint64  // order of arrival
	tag      float64 // virtual finish time
	aged     bool
}

// Aged reports whether the item waited long enough to go before all others.
// It is set by Order.
func (i *Item[T]) Aged() bool { return i.aged }

// flowKey identifies a flow by workspace and class of work.
type flowKey struct {
	workspace string
	long      bool
}

// flow holds the waiting items of one workspace and class.
type flow[T any] struct {
	weight   float64
	finish   float64       // virtual time at which its last served item finished and its next one starts
	items    []*Item[T]    // by priority, then by arrival
	backlog  time.Duration // cost of all items
	lastUsed time.Time
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	flows       map[flowKey]*flow[T]
	order       []*Item[T]
	length      int
	virtual     float64 // virtual time
	sequence    uint64
	ageing      time.Duration
	serviceRate rateMeter
}

// New returns an empty queue whose items are aged after waiting for ageing.
func New[T any](ageing time.Duration) *Queue[T] {
	return &Queue[T]{flows: make(map[flowKey]*flow[T]), ageing: ageing}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item to the queue.
func (q *Queue[T]) Push(item *Item[T], now time.Time) {
	q.serviceRate.advance(q.length > 0, now)
	q.sequence++
	item.sequence = q.sequence
	f := q.flow(item, now)
	if len(f.items) == 0 {
		f.finish = max(f.finish, q.virtual)
	}
	at, _ := slices.BinarySearchFunc(f.items, item, compareInFlow[T])
	f.items = slices.Insert(f.items, at, item)
	f.backlog += item.Cost
	q.length++
}

// Remove removes an item that will not be served.
func (q *Queue[T]) Remove(item *Item[T], now time.Time) {
	q.serviceRate.advance(q.length > 0, now)
	q.removeItem(item)
}

// Serve removes an item that is served now and charges its cost to its flow.
func (q *Queue[T]) Serve(item *Item[T], now time.Time) {
	q.serviceRate.advance(q.length > 0, now)
	f := q.removeItem(item)
	if f == nil {
		return
	}
	q.virtual = max(q.virtual, f.finish)
	f.finish += item.Cost.Seconds() / f.weight
	q.serviceRate.served += item.Cost.Seconds()
	q.dropIdleFlows(now)
}

// Order returns all items in the order in which they should be served: aged ones
// in order of arrival, then the others by virtual finish time. The slice is valid
// until the next call.
func (q *Queue[T]) Order(now time.Time) []*Item[T] {
	q.order = q.order[:0]
	for _, f := range q.flows {
		tag := f.finish
		for _, item := range f.items {
			tag += item.Cost.Seconds() / f.weight
			item.tag = tag
			item.aged = now.Sub(item.Enqueued) >= q.ageing
			q.order = append(q.order, item)
		}
	}
	slices.SortFunc(q.order, compareInQueue[T])
	return q.order
}

// Wait returns the expected wait of item if it were added: the time for which the
// oldest item of its flow that satisfies same has waited. That is a good estimate
// where the rate of service is not known (Ibrahim and Whitt, 2009). It is 0 when
// there is no such item.
func (q *Queue[T]) Wait(item *Item[T], same func(T) bool, now time.Time) time.Duration {
	f, ok := q.flows[flowKey{item.Workspace, item.Long}]
	if !ok {
		return 0
	}
	longest := time.Duration(0)
	for _, i := range f.items {
		if same(i.Value) {
			longest = max(longest, now.Sub(i.Enqueued))
		}
	}
	return longest
}

// Backlog returns the expected time to serve all waiting items. It uses rate, in
// seconds of cost per second, until the rate of service has been measured.
func (q *Queue[T]) Backlog(rate float64) time.Duration {
	total := 0.0
	for _, f := range q.flows {
		total += f.backlog.Seconds()
	}
	return time.Duration(total / q.serviceRate.rate(rate) * float64(time.Second))
}

// flow returns the flow of an item and adds it when there is none.
func (q *Queue[T]) flow(item *Item[T], now time.Time) *flow[T] {
	key := flowKey{item.Workspace, item.Long}
	f, ok := q.flows[key]
	if !ok {
		f = &flow[T]{}
		q.flows[key] = f
	}
	f.weight = weightOrDefault(item.Weight)
	f.lastUsed = now
	return f
}

// removeItem removes an item and returns its flow, or nil when it is not queued.
func (q *Queue[T]) removeItem(item *Item[T]) *flow[T] {
	f, ok := q.flows[flowKey{item.Workspace, item.Long}]
	if !ok {
		return nil
	}
	at := slices.Index(f.items, item)
	if at < 0 {
		return nil
	}
	f.items = slices.Delete(f.items, at, at+1)
	f.backlog -= item.Cost
	q.length--
	return f
}

// dropIdleFlows removes flows that are empty, have no finish time ahead of the
// virtual time and were not used for the ageing time. So the number of flows is
// bounded by the workspaces in use.
func (q *Queue[T]) dropIdleFlows(now time.Time) {
	for key, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtual && now.Sub(f.lastUsed) > q.ageing {
			delete(q.flows, key)
		}
	}
}

func weightOrDefault(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// compareInFlow orders the items of a flow by priority, then by arrival.
func compareInFlow[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
}

// compareInQueue orders aged items first, by arrival, and the others by virtual
// finish time, then by arrival.
func compareInQueue[T any](a, b *Item[T]) int {
	if a.aged != b.aged {
		if a.aged {
			return -1
		}
		return 1
	}
	if a.aged {
		return cmp.Compare(a.sequence, b.sequence)
	}
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.sequence, b.sequence))
}
