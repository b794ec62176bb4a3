package refusal

import (
	"errors"
	"strings"
	"testing"
)

// Guards against refusals that repeat all that a caller sent.
func TestMessagesAreShort(t *testing.T) {
	long := strings.Repeat("\x7f", 4<<20)
	const limit = 2 << 10 // bytes
	for name, e := range map[string]*Error{
		"text":       New(ModelNotFound, "model %q does not exist", long),
		"error":      New(BadRequest, "%v", errors.New(long)),
		"unknown":    NewUnknown(UpstreamFailed, nil, "%s", long),
		"multi-byte": New(BadRequest, "%s", strings.Repeat("\u20ac", 1<<20)),
	} {
		if len(e.Message) > limit || !strings.Contains(e.Message, "...") || strings.Contains(e.Message, "\ufffd") {
			t.Errorf("%s: %d bytes", name, len(e.Message))
		}
	}
	if got := New(BadRequest, "%q has %d", "a", 1).Message; got != `"a" has 1` {
		t.Errorf("a short one is %s", got)
	}
}
