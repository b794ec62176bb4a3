package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"currantpulley/internal/refusal"
)

// Statuses by which a caller knows that its request did not run and never
// will. A failure that may have run never gets one of them.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// statusOf returns the status for r. What may have run gets one that promises
// nothing, what did not run one that promises it.
func statusOf(r *refusal.Error) int {
	status := r.Status()
	switch {
	case r.Effect == refusal.Unknown && promises[status]:
		return http.StatusBadGateway
	case r.Effect == refusal.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// refuse answers with r.
func refuse(w http.ResponseWriter, r *refusal.Error) {
	body, err := json.Marshal(r.Body())
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 && r.Effect == refusal.NotRun {
		h.Set("Retry-After", seconds(jitter(r.RetryAfter)))
	}
	w.WriteHeader(statusOf(r))
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// seconds formats d as seconds with a fraction.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
