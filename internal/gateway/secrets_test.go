package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	secretKey    = "marked-key-71c2"
	secretPrompt = "marked-prompt-9e04"
	secretAnswer = "marked-answer-55aa"
)

// Keys, prompts and responses must not appear in logs, metrics or errors sent to
// callers, whichever fault an upstream has.
func TestSecretsStayOutOfLogsMetricsAndErrors(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"whole": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(secretAnswer)) },
		"reset": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("id: 1\ndata: " + secretAnswer + "\n\n"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"crossed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "id-of-another")
			_, _ = w.Write([]byte(secretAnswer))
		},
		"failed": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(secretAnswer))
		},
		"busy": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(secretAnswer))
		},
		"malformed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", secretAnswer)
		},
		"slow": func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := start(t, newReplica(t, fault))
			var errors []string
			for _, path := range []string{"/once/", "/idempotent/", "/stream/", "/resumable/", "/none/"} {
				for _, key := range []string{"k", secretKey} {
					res, body, err := f.post(t, path+secretPrompt, "Key", key, "Budget", "200", "Prompt", secretPrompt)
					if err != nil {
						errors = append(errors, err.Error())
					}
					if res != nil && res.Header.Get("Signed") == "" {
						errors = append(errors, body)
					}
				}
			}
			if err := f.record.Close(); err != nil {
				t.Fatal(err)
			}
			if f.logs.Len() == 0 {
				t.Error("nothing was logged")
			}
			checkNoSecret(t, "log", f.logs.String())
			checkNoSecret(t, "metrics", metricsText(t, f))
			checkNoSecret(t, "errors", strings.ReplaceAll(strings.Join(errors, "\n"), "/"+secretPrompt, ""))
		})
	}
}

func checkNoSecret(t *testing.T, where, text string) {
	t.Helper()
	for _, secret := range []string{secretKey, secretPrompt, secretAnswer} {
		if at := strings.Index(text, secret); at >= 0 {
			t.Errorf("%s: %q", where, text[max(0, at-200):min(len(text), at+80)])
		}
	}
}

// metricsText returns all metrics in text form.
func metricsText(t *testing.T, f *fixture) string {
	t.Helper()
	families, err := f.metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, family := range families {
		b.WriteString(family.String())
	}
	return b.String()
}
