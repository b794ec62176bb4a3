package hop

import (
	"net/http"
	"testing"
)

func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "X-Other": {"2"}, "Accept": {"a", "b"},
	}
	out := EndToEnd(h)
	if len(out) != 2 || out.Get("X-Other") != "2" || len(out["Accept"]) != 2 {
		t.Errorf("%v", out)
	}
	if h.Get("X-Own") != "1" {
		t.Error("the original changed")
	}
}
