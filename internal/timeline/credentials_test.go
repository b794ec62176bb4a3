package timeline

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// fragments make up texts with and without credentials.
var fragments = []string{
	"bearer", "Bearer ", "BEARER\t", "api_key", "api-key", "ApiKey", "API_KEY", "key", "token", "Tokens", "password", "secret", "ſecret", "toKen",
	"=", ":", ": ", `"`, `'`, " ", "\n", "abc123", ",", "&", "address 10.1.64.23:8063", "route r-1, sends 1", "ü", "\xff",
}

// The cheap check must spare no text that the expression masks.
func TestCheapCheckMissesNoCredential(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	matched := 0
	for range 200_000 {
		var text strings.Builder
		for range 1 + rng.IntN(6) {
			text.WriteString(fragments[rng.IntN(len(fragments))])
		}
		if !credentialPattern.MatchString(text.String()) {
			continue
		}
		matched++
		if !mayHoldCredential(text.String()) {
			t.Fatalf("%q holds a credential", text.String())
		}
	}
	if matched < 1000 {
		t.Errorf("only %d texts hold a credential", matched)
	}
}

// The load: a deployment where most requests are refused and come again. Each request,
// refused ones too, logs a line whose detail has an address.
func BenchmarkSanitise(b *testing.B) {
	const detail = "route r-g8pmb88, status 200, first 49ms, pause 137ms, whole 889ms, sends 1, expected 50ms, weights 2, " +
		"address 10.1.64.23:8063, framing chunks, last event 36"
	for b.Loop() {
		sanitise(detail)
	}
}
