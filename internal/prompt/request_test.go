package prompt

import (
	"runtime"
	"strings"
	"testing"
)

// The text of a request is that of its prompt or of its messages, in order.
func TestTextOfRequests(t *testing.T) {
	for _, c := range []struct{ path, body, text, err string }{
		{PathCompletions, `{"model":"m","prompt":"a b"}`, "a b", ""},
		{PathCompletions, `{"model":"m","prompt":["a"]}`, "a", ""},
		{PathCompletions, `{"model":"m","prompt":[""],"messages":[{"content":7}]}`, "", ""},
		{PathCompletions, `{"model":"m","prompt":["a","b"]}`, "", "list of one string"},
		{PathCompletions, `{"model":"m","prompt":[]}`, "", "list of one string"},
		{PathCompletions, `{"model":"m","prompt":[7]}`, "", "list of one string"},
		{PathCompletions, `{"model":"m","prompt":7}`, "", "list of one string"},
		{PathCompletions, `{"model":"m"}`, "", `field "prompt" is missing`},
		{PathChatCompletions, `{"model":"m","messages":[{"role":"u","content":"a"},{"role":"s"},{"content":null}]}`, "u\na\ns\n\n\n\n", ""},
		{PathChatCompletions, `{"model":"m","messages":[{"content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "\nab\n", ""},
		{PathChatCompletions, `{"model":"m","messages":[{"content":[]}]}`, "\n\n", ""},
		{PathChatCompletions, `{"model":"m","messages":[{},{"content":[{"type":"image"}]}]}`, "", `messages[1].content: part type "image" is not supported`},
		{PathChatCompletions, `{"model":"m","messages":[{"content":7}]}`, "", "messages[0].content: must be a string or a list of parts"},
		{PathChatCompletions, `{"model":"m","messages":[{"content":[7]}]}`, "", "messages[0].content: must be a string or a list of parts"},
		{PathChatCompletions, `{"model":"m","messages":[7]}`, "", "not a JSON object of the expected form"},
		{PathChatCompletions, `{"model":"m","messages":{}}`, "", "not a JSON object of the expected form"},
		{PathChatCompletions, `{"model":"m","messages":null}`, "", `field "messages" is missing or empty`},
		{PathChatCompletions, `{"model":"m","messages":[]}`, "", `field "messages" is missing or empty`},
		{PathChatCompletions, `{"model":"m","messages":[{}`, "", "not a JSON object of the expected form"},
		{PathChatCompletions, `{"messages":[{}]}`, "", `field "model" is missing`},
	} {
		r, err := ParseRequest(c.path, []byte(c.body))
		switch {
		case (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err):
			t.Errorf("%s: error %v, expected %q", c.body, err, c.err)
		case err == nil && string(r.Text) != c.text:
			t.Errorf("%s: text %q, expected %q", c.body, r.Text, c.text)
		}
	}
}

// memoryFactor is the largest multiple of a body's size that its parsing may hold.
const memoryFactor = 4

// Guards against lists of tiny elements that take many times the memory of their JSON.
func TestListsTakeNoMoreThanTheirText(t *testing.T) {
	const size = 1 << 20
	for name, c := range map[string]struct{ path, first, element, last string }{
		"messages": {PathChatCompletions, `{"model":"m","messages":[{}`, ",{}", "]}"},
		"parts":    {PathChatCompletions, `{"model":"m","messages":[{"content":[{"type":"text"}`, `,{"type":"text"}`, "]}]}"},
		"prompts":  {PathCompletions, `{"model":"m","prompt":[""`, `,""`, "]}"},
	} {
		body := []byte(c.first + strings.Repeat(c.element, size/len(c.element)) + c.last)
		if held := peakOf(func() { _, _ = ParseRequest(c.path, body) }); held > memoryFactor*size {
			t.Errorf("%s: %d bytes held for a body of %d", name, held, len(body))
		}
	}
}

// peakOf returns by how much the live heap grows while f runs.
func peakOf(f func()) uint64 {
	var m runtime.MemStats
	live := func() uint64 {
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, peak := live(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		peak = max(peak, live())
		select {
		case <-done:
			return max(peak, before) - before
		default:
		}
	}
}
