//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Model is the model of all engines.
const Model = "m"

// heartbeat is the time between two writes of a replica to the store.
const heartbeat = 1200 * time.Millisecond

// Order is an order that reached a replica.
type Order struct {
	At      time.Time
	Replica string
	Holder  string
	Token   uint64
	Version int
	Status  int
}

// Run is a request that a replica ran.
type Run struct {
	At      time.Time
	Replica string
	Attempt string
	Tenant  string
}

// Replica is a stand-in of a replica, an engine or a plain one.
type Replica struct {
	ID       string
	Service  string
	Engine   bool
	Fenced   bool          // it refuses orders with a lower fencing token than it has seen
	LoadTime time.Duration // of new weights
	Address  string

	store    *Store
	born     int64
	onOrder  func(Order)
	onRun    func(Run)
	mu       sync.Mutex
	version  int
	loading  int // version; 0: none
	sequence uint64
	fence    uint64
	beats    int
	seals    int
}

// Start serves the replica and registers it until the process ends.
func (p *Replica) Start(s *Store, onOrder func(Order), onRun func(Run)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.Address, p.store, p.onOrder, p.onRun = l.Addr().String(), s, onOrder, onRun
	p.born, p.version = time.Now().UnixMilli(), 1
	go func() { _ = (&http.Server{Handler: p}).Serve(l) }()
	p.register()
	go func() {
		for range time.Tick(heartbeat) {
			p.register()
		}
	}()
	return nil
}

// Version returns the version of the weights.
func (p *Replica) Version() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

func (p *Replica) models() []map[string]any {
	return []map[string]any{{"name": Model, "version": p.version, "adapters": []string{}}}
}

// register writes the entry of the replica.
func (p *Replica) register() {
	p.mu.Lock()
	p.beats++
	e := map[string]any{
		"service": p.Service, "address": p.Address, "zone": "a", "version": "1", "slots": 32, "state": "ready", "born": p.born,
		"sequence": p.beats, "coldRemainingMs": 0,
	}
	if p.Engine {
		e["models"], e["stage"] = p.models(), "colocated"
	}
	p.mu.Unlock()
	data, _ := json.Marshal(e)
	p.store.Put("keyed.servers", p.ID, data)
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != p.ID {
		p.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", p.ID)
	case "/report":
		p.mu.Lock()
		data, _ := json.Marshal(map[string]any{
			"stage": "colocated", "models": p.models(), "busy": p.loading != 0, "sequence": p.sequence, "waiting": 0, "running": 0,
			"kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": p.born,
		})
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	case "/order":
		p.order(w, body)
	default:
		p.run(w, r)
	}
}

// refuse answers that a request did not run.
func (p *Replica) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Instance-Id", p.ID)
	w.WriteHeader(status)
}

func (p *Replica) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Op, Model, Holder string
		Version           int
		FencingToken      uint64
		ExpectedRevision  *uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "version" || o.Model != Model || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	status := p.decide(o.Version, o.FencingToken, o.ExpectedRevision)
	p.mu.Unlock()
	p.onOrder(Order{time.Now(), p.ID, o.Holder, o.FencingToken, o.Version, status})
	w.WriteHeader(status)
}

// decide answers an order. p.mu is held.
func (p *Replica) decide(version int, token uint64, revision *uint64) int {
	if p.Fenced && token < p.fence {
		return http.StatusPreconditionFailed
	}
	p.fence = max(p.fence, token)
	if p.loading != 0 || (revision != nil && *revision != p.sequence) {
		return http.StatusConflict
	}
	if version == p.version {
		return http.StatusOK
	}
	p.sequence++
	p.loading = version
	time.AfterFunc(p.LoadTime, func() {
		p.mu.Lock()
		p.version, p.loading = version, 0
		p.mu.Unlock()
		p.register()
	})
	return http.StatusAccepted
}

func (p *Replica) run(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	p.mu.Lock()
	version := p.version
	if want := r.Header.Get("X-Expect-Version"); p.Engine && want != "" && want != strconv.Itoa(version) {
		p.mu.Unlock()
		p.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	if p.loading != 0 {
		p.mu.Unlock()
		p.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	p.seals++
	seal := fmt.Sprintf("%s.%d", p.ID, p.seals)
	p.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	p.onRun(Run{time.Now(), p.ID, attempt, r.Header.Get("X-Tenant")})
	time.Sleep(10 * time.Millisecond)
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Server-Seal", seal)
	h.Set("X-Replica-Load", "1,0,32")
	if p.Engine {
		h.Set("X-Weight-Versions", strconv.Itoa(version))
		h.Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		}
		return
	}
	_, _ = io.WriteString(w, "answer to "+attempt)
}
