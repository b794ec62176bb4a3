// Package fakevms is an HTTP stand-in for the platform's lagging VM list.
package fakevms

import (
	"net/http"
	"sync"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/fakehttp"
)

type version struct {
	at  time.Time
	vms []backing.ListedVM
}

// List is the stand-in; serve it with net/http. POST /vms sets the list, which
// GET /vms shows after the lag.
type List struct {
	mux      *http.ServeMux
	lag      time.Duration
	mu       sync.Mutex
	versions []version
}

// New returns an empty List that shows a change after lag.
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
	fakehttp.WriteJSON(w, http.StatusOK, l.shown(time.Now()))
}

func (l *List) shown(now time.Time) []backing.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := []backing.ListedVM{}
	for i, v := range l.versions {
		if now.Sub(v.at) < l.lag {
			break
		}
		shown = l.versions[i].vms
	}
	return shown
}
