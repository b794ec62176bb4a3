package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"currantpulley/internal/refusal"
)

// statusFor returns the HTTP status for r. A server error becomes 503 if the
// request did not run.
func statusFor(r *refusal.Error) int {
	status := r.Status()
	if r.Effect == refusal.NotRun && status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

// writeRefusal writes r as the response, in JSON.
func writeRefusal(w http.ResponseWriter, r *refusal.Error) {
	body, err := json.Marshal(r.Body())
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 && r.Effect == refusal.NotRun {
		h.Set("Retry-After", formatSeconds(jitter(r.RetryAfter)))
	}
	w.WriteHeader(statusFor(r))
	_, _ = w.Write(body) // an error means that the caller disconnected
}

// formatSeconds formats d in seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
