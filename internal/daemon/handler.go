package daemon

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantpulley/internal/filter/account"
	"currantpulley/internal/filter/authenticate"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/server"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

// maxCallerID is the maximum length of a request ID given by the caller, in bytes.
const maxCallerID = 128

const pathModels = "/v1/models"

// handler turns HTTP requests into exchanges and runs them through the filters.
type handler struct {
	holder *snapshot.Holder
	pipe   pipe.Pipe
	auth   *authenticate.Filter
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := h.exchange(w, r)
	if err != nil {
		account.Refuse(w, refusal.From(err))
		return
	}
	if x.Path == pathModels && x.Method == http.MethodGet {
		h.models(x)
		return
	}
	_ = h.pipe.Run(x)
}

// exchange reads a request into an exchange, or refuses it.
func (h *handler) exchange(w http.ResponseWriter, r *http.Request) (*pipe.Exchange, error) {
	callerID := r.Header.Get(upstream.HeaderRequestID)
	if !validID(callerID) {
		return nil, refusal.New(refusal.BadRequest, "header %s must be at most %d visible ASCII characters", upstream.HeaderRequestID, maxCallerID)
	}
	x := &pipe.Exchange{ID: rand.Text(), CallerID: callerID, Arrived: time.Now()}
	w.Header().Set(upstream.HeaderRequestID, x.VisibleID())
	snap := h.holder.Load()
	if snap == nil {
		return nil, refusal.New(refusal.NoConfiguration, "no configuration is in force here yet").WithRetryAfter(time.Second)
	}
	if !snap.Admitting {
		return nil, notAdmitting(snap.Reason)
	}
	body, err := server.ReadBody(r)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body could not be read").WithCause(err)
	}
	x.Ctx, x.Snap, x.Writer = r.Context(), snap, w
	x.Method, x.Path, x.RawPath, x.Query = r.Method, r.URL.Path, r.URL.RawPath, r.URL.RawQuery
	x.Header, x.Body = r.Header, body
	return x, nil
}

// notAdmitting returns the refusal for the reason of a snapshot that does not admit
// requests.
func notAdmitting(reason string) error {
	if reason == reasonDetached {
		return refusal.New(refusal.Detached, "this router can't tell whether its configuration is in force").WithRetryAfter(time.Second)
	}
	return refusal.New(refusal.Draining, "this router is stopping").WithRetryAfter(time.Second)
}

// validID reports whether id is an acceptable request ID; an empty one is.
func validID(id string) bool {
	return len(id) <= maxCallerID && strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// modelList is the body of the answer to GET /v1/models, as in the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models answers with the list of models that the workspace may use.
func (h *handler) models(x *pipe.Exchange) {
	if err := h.auth.Request(x); err != nil {
		account.Refuse(x.Writer, refusal.From(err))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, m := range x.Snap.Config.Models {
		if allowed := x.Workspace.Models; len(allowed) > 0 && !slices.Contains(allowed, name) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "currantpulley"})
		for _, a := range m.Adapters {
			list.Data = append(list.Data, modelItem{ID: name + ":" + a, Object: "model", OwnedBy: "currantpulley"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	body, err := json.Marshal(list)
	if err != nil {
		return
	}
	x.Writer.Header().Set("Content-Type", "application/json")
	x.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = x.Writer.Write(body)
}
