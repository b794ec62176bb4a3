//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beat      = 1200 * time.Millisecond // heartbeatMs of the small sites
	modelName = "m0"
	slots     = 48
)

// replica is a stand-in of a replica: of a model service if it has parts to cache, or of
// a plain service.
type replica struct {
	service, id, zone, software, address string
	model                                bool
	born                                 int64
	store                                *store
	rec                                  *recorder

	events int           // of a stream
	pause  time.Duration // between two events
	work   time.Duration // of a plain request

	// crashes reports whether a request ends the process of a replica that begins to run it.
	crashes func(r *http.Request, body string) bool
	downFor time.Duration
	keepsID bool // it starts again under the id that it had
	// onRun is called with each request that runs.
	onRun func(p *replica, r *http.Request, body string)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	running  int
	sequence int
	cache    map[string]string // by salt and parts: the tenant whose request made it
	seals    atomic.Int64
}

// start registers the replica and serves.
func (p *replica) start() {
	if p.address == "" {
		p.address = freePort("127.0.0.1")
	}
	p.conns, p.cache = make(map[net.Conn]bool), make(map[string]string)
	p.open()
	go func() {
		for {
			p.register("ready")
			time.Sleep(beat)
		}
	}()
}

func (p *replica) open() {
	l, err := net.Listen("tcp", p.address)
	must(err)
	p.mu.Lock()
	p.listener, p.down = l, false
	if p.born == 0 {
		p.born = time.Now().UnixMilli()
	}
	p.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(p.conns, c)
			return
		}
		p.conns[c] = true
	}}
	go func() { _ = server.Serve(l) }()
}

// entry returns the replica's entry in the store.
func (p *replica) entry(state string) []byte {
	models := []map[string]any{}
	if p.model {
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": []string{}})
	}
	p.sequence++
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.software, "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": p.sequence, "born": p.born,
	}
	if p.model {
		e["stage"], e["models"] = "colocated", models
	}
	data, err := json.Marshal(e)
	must(err)
	return data
}

// register writes the replica's entry, unless it is down.
func (p *replica) register(state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		p.store.put("keyed.servers", p.id, p.entry(state))
	}
}

// crash ends the replica as a crash of its process would: its port is closed and all its
// connections end. It is back after downFor, as a new incarnation with a new id.
func (p *replica) crash() {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.down = true
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
	old := p.id
	p.mu.Unlock()
	p.rec.write("replica crashed", "replica", old)
	if !p.keepsID {
		time.AfterFunc(3*beat, func() { p.store.put("keyed.servers", old, nil) }) // its entry lapses
	}
	go func() {
		time.Sleep(p.downFor)
		p.mu.Lock()
		if !p.keepsID {
			p.id = nextID(old)
		}
		p.down, p.born = false, time.Now().UnixMilli()
		p.mu.Unlock()
		p.register("ready") // before it serves
		p.open()
		p.rec.write("replica back", "replica", p.id)
	}()
}

// nextID returns the id of the next incarnation.
func nextID(id string) string {
	base, n, _ := strings.Cut(id, ".")
	k, _ := strconv.Atoi(n)
	return base + "." + strconv.Itoa(k+1)
}

func (p *replica) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	id, down, software := p.id, p.down, p.software
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		p.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		p.report(w)
		return
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusOK) // the only version already holds
		return
	case r.Header.Get("X-Attempt-Id") == "":
		p.refuse(w, r, http.StatusBadRequest)
		return
	}
	if v := r.Header.Get("X-Expect-Version"); p.model && v != "" && v != "1" {
		p.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	full := p.running >= slots
	if !full {
		p.running++
	}
	running := p.running
	p.mu.Unlock()
	if full {
		p.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	defer func() { p.mu.Lock(); p.running--; p.mu.Unlock() }()
	p.rec.write("run", "replica", id, "service", p.service, "software", software, "attempt", r.Header.Get("X-Attempt-Id"),
		"path", r.URL.Path, "tenant", r.Header.Get("X-Tenant"), "salt", r.Header.Get("X-Cache-Salt"), "last_event", r.Header.Get("Last-Event-Id"))
	if p.onRun != nil {
		p.onRun(p, r, string(body))
	}
	if p.crashes != nil && p.crashes(r, string(body)) {
		p.crash()
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	h.Set("X-Server-Seal", fmt.Sprintf("%s.%d", id, p.seals.Add(1)))
	h.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", running, slots))
	if !p.model {
		time.Sleep(p.work)
		_, _ = io.WriteString(w, `{"done":true}`)
		return
	}
	h.Set("X-Weight-Versions", "1")
	p.stream(w, r, software)
}

func (p *replica) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": p.running, "kvUsed": 1000, "kvTotal": 110000, "handles": 0,
	})
}

// stream sends the events after Last-Event-Id.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, software string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for n := last + 1; n <= p.events; n++ {
		if n > last+1 {
			select {
			case <-time.After(p.pause):
			case <-r.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of software %s\n\n", n, n, software); err != nil {
			return
		}
		flusher.Flush()
	}
}

// useCache looks the shared parts of a request's prompt up, as an engine does: under its
// salt, each part only behind all those before it. It returns the tenants whose requests
// made what it finds, and adds the rest.
func (p *replica) useCache(r *http.Request) (makers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.Header.Get("X-Cache-Salt") + "|" + r.Header.Get("X-Model")
	hit := true
	for _, entry := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		key += "|" + entry
		if maker, ok := p.cache[key]; ok && hit {
			makers = append(makers, maker)
			continue
		}
		hit = false
		p.cache[key] = r.Header.Get("X-Tenant")
	}
	return makers
}
