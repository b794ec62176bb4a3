package prompt

import (
	"bytes"
	"encoding/json"
	"errors"
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
	Messages            messages        `json:"messages"`
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
	r.Text = text
	return r, nil
}

func (w *wireRequest) text(path string) ([]byte, error) {
	if path == PathCompletions {
		if w.Prompt == nil {
			return nil, fmt.Errorf("field %q is missing", "prompt")
		}
		return promptText(w.Prompt)
	}
	if w.Messages.count == 0 {
		return nil, fmt.Errorf("field %q is missing or empty", "messages")
	}
	return w.Messages.text.Bytes(), w.Messages.err
}

// messages is the text of a list of messages. They are decoded one at a time: a list of
// many small ones would take a multiple of the memory of its JSON.
type messages struct {
	text  bytes.Buffer
	count int
	err   error // of the first message whose content has no text
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *messages) UnmarshalJSON(raw []byte) error {
	*m = messages{}
	return eachElement(raw, func(w wireMessage) error {
		m.add(w)
		return nil
	})
}

// add appends the text of one message.
func (m *messages) add(w wireMessage) {
	m.text.WriteString(w.Role)
	m.text.WriteByte('\n')
	if err := appendContent(&m.text, w.Content); err != nil && m.err == nil {
		m.err = fmt.Errorf("messages[%d].content: %w", m.count, err)
	}
	m.text.WriteByte('\n')
	m.count++
}

// errNotList is the error of eachElement for a value that is no list.
var errNotList = errors.New("expected a list")

// eachElement calls f with the elements of a JSON list, or not at all for null, until f
// fails.
func eachElement[T any](raw []byte, f func(T) error) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	switch first, err := d.Token(); {
	case err != nil || first == nil:
		return err
	case first != json.Delim('['):
		return errNotList
	}
	for d.More() {
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		if err := f(element); err != nil {
			return err
		}
	}
	return nil
}

// errNotOneString is the error of a prompt that is no string.
var errNotOneString = fmt.Errorf("field %q must be a string or a list of one string", "prompt")

func promptText(raw json.RawMessage) ([]byte, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []byte(one), nil
	}
	count := 0
	err := eachElement(raw, func(s string) error {
		one = s
		if count++; count > 1 {
			return errNotOneString
		}
		return nil
	})
	if err != nil || count != 1 {
		return nil, errNotOneString
	}
	return []byte(one), nil
}

// appendContent appends the text of a message's content.
func appendContent(text *bytes.Buffer, raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		text.WriteString(one)
		return nil
	}
	var unsupported error
	err := eachElement(raw, func(p wirePart) error {
		if p.Type != "text" {
			unsupported = fmt.Errorf("part type %.64q is not supported, expected %q", p.Type, "text")
			return unsupported
		}
		text.WriteString(p.Text)
		return nil
	})
	if err != nil && unsupported == nil {
		return fmt.Errorf("must be a string or a list of parts")
	}
	return unsupported
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
