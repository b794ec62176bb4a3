//go:build review

package lab

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const engines = 4

// Handover plays this: of two machines the first gives the orders. The store turns it
// away, the second one takes over and gives the next orders, and is then removed in a
// planned way. The store serves the first one again. Without trouble the second one is
// removed all the same.
type Handover struct {
	Lab   *Lab
	First *Daemon

	mu       sync.Mutex
	orders   []Order
	replicas []*Replica
}

// NewHandover starts two daemons and the engines.
func NewHandover(l *Lab) (*Handover, error) {
	h := &Handover{Lab: l}
	for i := range engines {
		p := &Replica{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Engine: true, Fenced: l.site.Fenced, LoadTime: l.site.Load}
		if err := p.Start(l.Store, h.onOrder, func(r Run) { l.Logf("replica %s runs %s", r.Replica, r.Attempt) }); err != nil {
			return nil, err
		}
		h.replicas = append(h.replicas, p)
	}
	l.PutConfig(1, Tenant{Name: "north", Keys: []string{"key"}})
	l.PutVersion(1)
	for range 2 {
		d, err := l.AddDaemon()
		if err == nil {
			err = d.Start()
		}
		if err != nil {
			return nil, err
		}
		if !d.AwaitReady(10 * time.Second) {
			return nil, fmt.Errorf("%s is not ready", d.Name)
		}
		time.Sleep(2 * time.Second) // the first one becomes the holder
	}
	h.First = l.Daemons[0]
	return h, nil
}

func (h *Handover) onOrder(o Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, o)
	h.Lab.Logf("replica %s gets an order of %s with token %d, version %d, and answers %d", o.Replica, o.Holder, o.Token, o.Version, o.Status)
}

// Orders returns the orders in the sequence of their arrival.
func (h *Handover) Orders() []Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Order(nil), h.orders...)
}

// Behind returns the number of engines with older weights, and that of all.
func (h *Handover) Behind(version int) (behind, all int) {
	for _, p := range h.replicas {
		if p.Version() < version {
			behind++
		}
	}
	return behind, len(h.replicas)
}

// Await waits until all engines have a version, and reports whether they have.
func (h *Handover) Await(version int, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if behind, _ := h.Behind(version); behind == 0 {
			h.Lab.Logf("all engines have weights %d", version)
			return true
		}
	}
	h.Lab.Logf("not all engines have weights %d", version)
	return false
}

// mostTurnedAway is the time for which the store may turn a machine away.
const mostTurnedAway = 9 * time.Second

// Play plays the handover, in which weights 2 and 3 are named. It returns contactMs after
// the last event.
func (h *Handover) Play() error {
	l, second := h.Lab, h.Lab.Daemons[1]
	time.Sleep(2 * time.Second)
	l.PutVersion(2)
	if !h.Await(2, l.site.Version) {
		return fmt.Errorf("weights 2 are not rolled out")
	}
	began := time.Now()
	if l.Trouble {
		l.Store.Refuse(0, true)
		l.Logf("store: turns %s away", h.First.Name)
	}
	time.Sleep(time.Second)
	l.PutVersion(3)
	h.Await(3, mostTurnedAway-time.Second-time.Since(began))
	if l.Trouble && !h.ordered(second) {
		return fmt.Errorf("%s gave no order", second.Name)
	}
	second.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if l.Trouble {
		l.Store.Refuse(0, false)
		l.Logf("store: serves %s again, after %.1f s", h.First.Name, time.Since(began).Seconds())
	}
	if !second.Wait(GraceS * time.Second) {
		return fmt.Errorf("%s does not end", second.Name)
	}
	time.Sleep(Contact)
	return nil
}

// ordered reports whether a daemon gave an order that an engine accepted.
func (h *Handover) ordered(d *Daemon) bool {
	for _, o := range h.Orders() {
		if o.Holder == d.Name && o.Status == http.StatusAccepted {
			return true
		}
	}
	return false
}
