package fakeengine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// stream is one request and its generated output. The engine's lock guards the
// fields that change.
type stream struct {
	id, salt, model, adapter, weights, incarnation string
	chat                                           bool
	digest                                         string
	priority                                       int
	pieces                                         []uint64
	promptTokens, output                           int

	started   bool          // prefill has started
	cached    int           // number of pieces found in the cache
	prefilled int           // number of pieces cached or computed
	produced  int           // number of output tokens
	due       float64       // value of batch.tokens at which the next event is complete
	readers   int           // HTTP responses that read the stream
	aborted   bool          // cancelled or crashed
	changed   chan struct{} // closed and replaced when produced or aborted changes
}

func (s *stream) done() bool { return s.produced >= s.output }

// emit adds n output tokens.
func (s *stream) emit(n int) {
	s.produced = min(s.output, s.produced+n)
	s.notify()
}

// abort ends the stream, so that its readers' connections are closed.
func (s *stream) abort() {
	s.aborted = true
	s.notify()
}

// notify wakes all readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cachedTokens returns the number of cached prompt tokens. At least one token is
// left to compute, as in real engines.
func (s *stream) cachedTokens(pieceTokens int) int {
	return min(s.cached*pieceTokens, s.promptTokens-1)
}

// chunkTokens returns the size of the next prefill chunk: one piece or, for the
// last chunk, the rest of the prompt.
func (s *stream) chunkTokens(pieceTokens int) int {
	left := s.promptTokens - s.prefilled*pieceTokens
	if s.prefilled+1 < len(s.pieces) {
		return pieceTokens
	}
	return max(1, left)
}

// nextEventTokens returns the number of output tokens in the next streamed event.
func (s *stream) nextEventTokens(eventTokens int) int {
	return min(eventTokens, s.output-s.produced)
}

// eventCount returns the number of data events for n output tokens.
func (s *stream) eventCount(n, eventTokens int) int {
	if n == 0 {
		return 0
	}
	count := 1 + (n-1)/eventTokens
	if n == s.output && (n-1)%eventTokens != 0 {
		count++
	}
	return count
}

// tokenCount returns the number of output tokens in the first n data events.
func (s *stream) tokenCount(n, eventTokens int) int {
	if n == 0 {
		return 0
	}
	return min(s.output, 1+(n-1)*eventTokens)
}

// eventText returns the output text of a data event; event counts from 1.
func (s *stream) eventText(event, eventTokens int) string {
	if event == 1 {
		return OutputText(s.digest, 0, 1)
	}
	from := 1 + (event-2)*eventTokens
	return OutputText(s.digest, from, min(eventTokens, s.output-from))
}

// Digest returns the hash that identifies a prompt in the answers to it.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// OutputText returns the text of n output tokens, starting with token number
// from: the prompt's digest and the range of the tokens.
func OutputText(digest string, from, n int) string { return fmt.Sprintf("%s:%d+%d ", digest, from, n) }

// Verify returns an error unless answer is the complete answer to the prompt text
// with the given number of output tokens.
func Verify(text []byte, output int, answer string) error {
	want, next := Digest(text), 0
	for _, field := range strings.Fields(answer) {
		digest, span, ok := strings.Cut(field, ":")
		if !ok || digest != want {
			return fmt.Errorf("answer %q does not belong to prompt %s", field, want)
		}
		var from, n int
		if _, err := fmt.Sscanf(span, "%d+%d", &from, &n); err != nil {
			return fmt.Errorf("token range %q: %w", span, err)
		}
		if from != next {
			return fmt.Errorf("got token %d, want %d", from, next)
		}
		next += n
	}
	if next != output {
		return fmt.Errorf("got %d output tokens, want %d", next, output)
	}
	return nil
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

var finishLength = "length"

// render returns the JSON of a data event or, if streamed is false, of the
// complete answer.
func (s *stream) render(text string, streamed, first, last bool, pieceTokens int) []byte {
	c := choice{}
	object := "text_completion"
	switch {
	case !s.chat:
		c.Text = &text
	case streamed:
		object = "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	default:
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	}
	out := completion{ID: "cmpl-" + s.id, Object: object, Model: s.model}
	if last {
		c.Finish = &finishLength
		out.Usage = &usage{Prompt: s.promptTokens, Completion: s.output, Total: s.promptTokens + s.output}
		out.Usage.Details.Cached = s.cachedTokens(pieceTokens)
	}
	out.Choices = []choice{c}
	data, _ := json.Marshal(out) // can't fail for these types
	return data
}
