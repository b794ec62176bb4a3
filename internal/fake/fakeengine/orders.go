package fakeengine

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"currantpulley/internal/fake/fakehttp"
)

// WeightStore models the rate-limited store that engines load weights from. If
// more loads than its limit run concurrently, new ones are slowed down or refused.
type WeightStore struct {
	Limit  int  // concurrent loads at full speed
	Refuse bool // refuse loads over the limit

	mu        sync.Mutex
	active    int
	maxActive int
}

// begin starts a load and returns the factor by which it is slowed down, or false
// if it is refused.
func (s *WeightStore) begin() (factor float64, ok bool) {
	if s == nil {
		return 1, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Refuse && s.active >= s.Limit {
		return 0, false
	}
	s.active++
	s.maxActive = max(s.maxActive, s.active)
	return max(1, float64(s.active)/float64(s.Limit)), true
}

func (s *WeightStore) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// MaxConcurrentLoads returns the largest number of concurrent loads so far.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxActive
}

type stateResponse struct {
	Incarnation string            `json:"incarnation"`
	Weights     map[string]string `json:"weights"`
	Loading     bool              `json:"loading"`
	Role        string            `json:"role"`
	Adapters    []string          `json:"adapters"`
	Fencing     uint64            `json:"fencing"`
	Load        load              `json:"load"`
}

// currentState returns the state to report. The caller holds the lock.
func (e *Engine) currentState() stateResponse {
	weights := make(map[string]string, len(e.weights))
	for model, version := range e.weights {
		weights[model] = version
	}
	return stateResponse{e.incarnation, weights, e.loading, e.role, append([]string{}, e.adapters...), e.fencing, e.laggedLoad(time.Now())}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.currentState()
	e.mu.Unlock()
	fakehttp.WriteJSON(w, http.StatusOK, state)
}

// cacheEvents handles a request for cache events.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	sample, _ := strconv.ParseUint(r.URL.Query().Get("sample"), 10, 64)
	e.mu.Lock()
	events, next, gap := e.feed.since(from, max(1, sample), time.Now())
	incarnation := e.incarnation
	e.mu.Unlock()
	fakehttp.WriteJSON(w, http.StatusOK, map[string]any{"incarnation": incarnation, "next": next, "events": events, "gap": gap})
}

type orderRequest struct {
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Weights string `json:"weights"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if !fakehttp.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	status, reason := e.execute(o)
	state := e.currentState()
	e.mu.Unlock()
	if status != http.StatusOK {
		http.Error(w, reason, status)
		return
	}
	fakehttp.WriteJSON(w, status, state)
}

// execute executes an order. A load continues after it returns. The caller holds
// the lock.
func (e *Engine) execute(o orderRequest) (status int, reason string) {
	if e.opts.ChecksFencing && o.Fencing < e.fencing {
		return http.StatusConflict, "stale fencing"
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Action {
	case "load":
		return e.startLoad(o)
	case "adapter":
		if !slices.Contains(e.adapters, o.Adapter) {
			e.adapters = append(e.adapters, o.Adapter)
		}
	case "role":
		e.role = o.Role
	default:
		return http.StatusBadRequest, "unknown action"
	}
	return http.StatusOK, ""
}

// startLoad starts to load weights. The caller holds the lock.
func (e *Engine) startLoad(o orderRequest) (status int, reason string) {
	if e.loading {
		return http.StatusServiceUnavailable, "weights are already being loaded"
	}
	if e.weights[o.Model] == o.Weights {
		return http.StatusOK, ""
	}
	factor, ok := e.opts.Store.begin()
	if !ok {
		return http.StatusServiceUnavailable, "the weight store is overloaded"
	}
	e.loading = true
	incarnation := e.incarnation
	time.AfterFunc(time.Duration(factor*float64(e.opts.LoadTime)), func() {
		e.opts.Store.end()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation != incarnation {
			return
		}
		e.loading = false
		e.weights[o.Model] = o.Weights
		e.cache.evictModel(o.Model)
	})
	return http.StatusOK, ""
}
