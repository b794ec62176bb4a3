// Package fakevms is a fake of the platform's VM list, served over HTTP, which
// shows changes with a lag.
package fakevms

import (
	"net/http"
	"sync"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/fakehttp"
)

// version is a state of the list and the time at which it was set.
type version struct {
	at  time.Time
	vms []backing.ListedVM
}

// List is the fake VM list, an http.Handler. POST /vms replaces the list; GET
// /vms returns the change after the lag.
type List struct {
	mux      *http.ServeMux
	lag      time.Duration
	mu       sync.Mutex
	versions []version
}

// New returns an empty List with the given lag.
func New(lag time.Duration) *List {
	l := &List{mux: http.NewServeMux(), lag: lag}
	l.mux.HandleFunc("GET /vms", l.get)
	l.mux.HandleFunc("POST /vms", l.post)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set replaces the list.
func (l *List) Set(vms []backing.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{time.Now(), vms})
}

func (l *List) post(w http.ResponseWriter, r *http.Request) {
	var vms []backing.ListedVM
	if fakehttp.ReadJSON(w, r, &vms) {
		l.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	fakehttp.WriteJSON(w, http.StatusOK, l.visible(time.Now()))
}

// visible returns the newest list that is at least the lag old.
func (l *List) visible(now time.Time) []backing.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := []backing.ListedVM{}
	for i, v := range l.versions {
		if now.Sub(v.at) < l.lag {
			break
		}
		visible = l.versions[i].vms
	}
	return visible
}
