package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/event"
	"currantpulley/internal/prompt"
	"currantpulley/internal/refusal"
	"currantpulley/internal/server"
	"currantpulley/internal/timeline"
)

const (
	adminMaxBody   = 64 << 20 // bytes; a request to explain is sent as the body
	adminMaxHeader = 64 << 10 // bytes
	adminMaxConns  = 64       // of those descriptors that callers leave free
	adminTimeout   = time.Minute
)

// readiness is the shutdown state of the daemon. The load balancer's readiness
// probe reports it.
type readiness struct {
	mu      sync.Mutex
	leaving bool          // Stop was called
	drain   chan struct{} // closed when an operator asks for a shutdown
}

// leave marks the daemon as leaving and reports whether it was not leaving before.
func (r *readiness) leave() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.leaving
	r.leaving = true
	return !was
}

// isLeaving reports whether Stop was called.
func (r *readiness) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// drainRequested returns the channel that is closed when an operator asks for a
// graceful shutdown.
func (r *readiness) drainRequested() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drain == nil {
		r.drain = make(chan struct{})
	}
	return r.drain
}

// DrainRequested returns a channel that is closed when an operator asks for a
// graceful shutdown through the admin listener. The process then calls Stop.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.ready.drainRequested() }

// listenAdmin starts the admin listener.
func (d *Daemon) listenAdmin() error {
	var err error
	d.admin, err = server.Start(server.Options{
		Address: d.settings.AdminListen,
		Limits: func() server.Limits {
			return server.Limits{MaxBody: adminMaxBody, MaxHeader: adminMaxHeader, MaxConnections: adminMaxConns,
				ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
		},
		Handler: d.adminMux(),
		Memory:  d.memory,
		Record:  d.recorder.Record,
	})
	return err
}

// adminMux returns the handlers of the admin listener.
func (d *Daemon) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET "+admin.PathStatus, d.serveStatus)
	mux.HandleFunc("POST "+admin.PathDrain, d.serveDrain)
	mux.HandleFunc("POST "+admin.PathExplain, d.serveExplain)
	if d.control.publisher != nil {
		mux.Handle("GET "+publish.StatusPath, d.control.publisher.StatusHandler())
	}
	mux.Handle("GET "+admin.PathTimeline, timeline.Handler(d.events.collector))
	if d.settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// serveReady answers 200 while the load balancer should send requests to this
// daemon, and else 503 with the reason.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	snap := d.holder.Load()
	switch {
	case snap == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	case d.ready.isLeaving():
		http.Error(w, reasonDraining, http.StatusServiceUnavailable)
	case !snap.Admitting:
		http.Error(w, snap.Reason, http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// serveDrain requests a graceful shutdown. Repeated requests have no effect.
func (d *Daemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	ch := d.ready.drainRequested()
	d.ready.mu.Lock()
	defer d.ready.mu.Unlock()
	select {
	case <-ch:
	default:
		close(ch)
	}
	w.WriteHeader(http.StatusAccepted)
}

// serveExplain answers where a request would be placed and why. The request is not
// run.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	var q admin.ExplainRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	snap := d.holder.Load()
	if snap == nil {
		http.Error(w, "no configuration is in force here yet", http.StatusServiceUnavailable)
		return
	}
	ws, ok := snap.Config.Workspaces[q.Workspace]
	if !ok {
		http.Error(w, "workspace "+q.Workspace+" does not exist", http.StatusNotFound)
		return
	}
	req, err := prompt.ParseRequest(q.Path, q.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, ok := snap.Config.Models[req.Model]
	if !ok {
		http.Error(w, "model "+req.Model+" does not exist", http.StatusNotFound)
		return
	}
	scope := prompt.Scope{Workspace: ws.Name, Model: m.Name, Adapter: req.Adapter, Weights: m.Weights}
	writeJSON(w, d.scheduler.ExplainWithin(snap, prompt.New(req, scope, m.PieceTokens), ws.Name, q.MaxWait))
}

// writeJSON answers with v as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// recordConnectionRefused records that a caller's connection was refused.
func (d *Daemon) recordConnectionRefused(remote string, r *refusal.Error) {
	d.recorder.Record(event.Event{ID: event.ConnectionRefused, Peer: remote, Step: "read request", Detail: string(r.Code)})
}
