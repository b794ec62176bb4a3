package account_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"currantpulley/internal/filter/account"
	"currantpulley/internal/refusal"
)

// Guards against a status that callers, and the libraries below them, take for "not
// run" when the call, or an earlier one with its idempotency key, may have run.
func TestRefusalOfCallThatMayHaveRunPromisesNothing(t *testing.T) {
	for _, code := range []refusal.Code{refusal.LogUnavailable, refusal.CallInFlight, refusal.OutcomeUnknown, refusal.DeadlineExceeded, refusal.UpstreamFailed} {
		w := httptest.NewRecorder()
		account.Refuse(w, refusal.NewUnknown(code, nil, "an earlier call with this key may have run"))
		switch w.Code {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			t.Errorf("%s: status %d with the effect %s", code, w.Code, w.Header().Get("X-Effect"))
		}
	}
}
