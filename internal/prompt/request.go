package prompt

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Paths of model requests.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// Request holds the fields of a model request that placement depends on.
type Request struct {
	Model     string
	Adapter   string // the part of the model's name after a colon
	Stream    bool
	MaxOutput int    // tokens; 0: not given
	Text      []byte // the text that the model reads, in order
}

type wireRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []wireMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseRequest parses the body of a request to path. Its errors state what was
// expected and may be shown to callers.
func ParseRequest(path string, body []byte) (*Request, error) {
	var w wireRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("the body is not a JSON object of the expected form: %w", err)
	}
	if w.Model == "" {
		return nil, fmt.Errorf("field %q is missing", "model")
	}
	r := &Request{Model: w.Model, Stream: w.Stream, MaxOutput: max(w.MaxTokens, w.MaxCompletionTokens)}
	r.Model, r.Adapter, _ = strings.Cut(w.Model, ":")
	text, err := w.text(path)
	if err != nil {
		return nil, err
	}
	r.Text = []byte(text)
	return r, nil
}

func (w *wireRequest) text(path string) (string, error) {
	if path == PathCompletions {
		if w.Prompt == nil {
			return "", fmt.Errorf("field %q is missing", "prompt")
		}
		return promptText(w.Prompt)
	}
	if len(w.Messages) == 0 {
		return "", fmt.Errorf("field %q is missing or empty", "messages")
	}
	var b strings.Builder
	for i, m := range w.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d].content: %w", i, err)
		}
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(content)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

func promptText(raw json.RawMessage) (string, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, nil
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil && len(many) == 1 {
		return many[0], nil
	}
	return "", fmt.Errorf("field %q must be a string or a list of one string", "prompt")
}

func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, nil
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("must be a string or a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("part type %q is not supported, expected %q", p.Type, "text")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// New returns the prompt of r in scope, split into pieces of pieceTokens estimated
// tokens.
func New(r *Request, scope Scope, pieceTokens int) *Prompt {
	return &Prompt{
		Scope:     scope,
		Tokens:    EstimateTokens(len(r.Text)),
		MaxOutput: r.MaxOutput,
		Stream:    r.Stream,
		PieceSize: pieceTokens,
		Pieces:    Hashes(scope, r.Text, pieceTokens),
	}
}
