package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"currantpulley/internal/memory"
)

// readAll returns the data of all events in body and the error that ended them.
func readAll(body string, after uint64) (got []string, err error) {
	e := NewEvents(io.NopCloser(strings.NewReader(body)), after, alwaysRoom)
	for {
		ev, err := e.Next()
		if err != nil {
			return got, err
		}
		got = append(got, string(ev.Data))
	}
}

func TestEvents(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		after uint64
		want  string
		err   error
	}{
		"whole":              {"id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n", 0, "{} [DONE]", io.EOF},
		"no ids":             {"data: 1\n\ndata: [DONE]\n\n", 0, "1 [DONE]", io.EOF},
		"comments, CRLF":     {": ping\r\n\r\nid:1\r\ndata:1\r\n\r\nid: 2\r\ndata: [DONE]\r\n\r\n", 0, "1 [DONE]", io.EOF},
		"several data lines": {"id: 1\ndata: [1,\ndata: 2]\n\n", 0, "[1,\n2]", ErrTruncated},
		"repeated":           {"id: 1\ndata: 1\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 0, "1 2", ErrTruncated},
		"resumed":            {"id: 3\ndata: 3\n\nid: 4\ndata: [DONE]\n\n", 2, "3 [DONE]", io.EOF},
		"gap":                {"id: 1\ndata: 1\n\nid: 3\ndata: 3\n\n", 0, "1", ErrGap},
		"gap after resume":   {"id: 4\ndata: 4\n\n", 2, "", ErrGap},
		"ends in an event":   {"id: 1\ndata: 1\n\nid: 2\nda", 0, "1", ErrTruncated},
		"bad id":             {"id: x\ndata: 1\n\n", 0, "", ErrMalformed},
		"not JSON":           {"id: 1\ndata: {\n\n", 0, "", ErrMalformed},
		"error reported":     {"id: 1\nevent: error\ndata: {}\n\n", 0, "", ErrEngineFailed},
		"event too long":     {"data: \"" + strings.Repeat("x", maxEventBytes) + "\"\n\n", 0, "", ErrTooLong},
		"no event":           {"", 0, "", ErrTruncated},
		"text after final":   {"data: [DONE]\n\ndata: 1\n\n", 0, "[DONE]", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := readAll(c.body, c.after)
			if strings.Join(got, " ") != c.want || !errors.Is(err, c.err) {
				t.Fatalf("got %q, %v; want %q, %v", got, err, c.want, c.err)
			}
		})
	}
}

// For any input, event ids must increase by one, and io.EOF must be returned only
// after a final event.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n", uint64(0))
	f.Add("id: 3\ndata: 3\n\nid: 3\ndata: 3\n\n", uint64(2))
	f.Add(": c\r\nevent: x\r\ndata\r\n\r\n", uint64(7))
	f.Fuzz(func(t *testing.T, body string, after uint64) {
		e := NewEvents(io.NopCloser(strings.NewReader(body)), after, alwaysRoom)
		last, final := after, false
		for {
			ev, err := e.Next()
			if err != nil {
				if errors.Is(err, io.EOF) != final {
					t.Fatalf("final %v but error %v", final, err)
				}
				return
			}
			if ev.ID != 0 && ev.ID != last+1 {
				t.Fatalf("event %d follows %d", ev.ID, last)
			}
			last = max(last, ev.ID)
			final = ev.Final()
		}
	})
}

// Guards against the text of an error, as an event, in the middle of a stream.
func TestResumedStreamGoesOnWithNumberedEvents(t *testing.T) {
	const unnumbered = "data: {}\n\n"
	for after, want := range map[uint64]error{0: nil, 1: ErrMalformed} {
		if _, err := NewEvents(io.NopCloser(strings.NewReader(unnumbered)), after, alwaysRoom).Next(); !errors.Is(err, want) {
			t.Errorf("after %d: %v, want %v", after, err, want)
		}
	}
	const failed = "event: error\ndata: {}\n\n"
	if _, err := NewEvents(io.NopCloser(strings.NewReader(failed)), 1, alwaysRoom).Next(); !errors.Is(err, ErrEngineFailed) {
		t.Errorf("error event: %v", err)
	}
}

// Guards against events that fill a machine's memory, each of legal size: what is held of
// them is asked for, and a stream fails without it.
func TestEventsAskForRoom(t *testing.T) {
	const held = 256 << 10 // of the largest event that fits
	for name, body := range map[string]string{
		"a line":        "data: " + strings.Repeat("y", maxEventBytes),
		"many lines":    strings.Repeat("data: y\n", maxEventBytes/2),
		"another field": "other: " + strings.Repeat("y", maxEventBytes),
	} {
		granted := int64(0)
		room := func(n int64) bool {
			if granted+n > held {
				return false
			}
			granted += n
			return true
		}
		e := NewEvents(io.NopCloser(strings.NewReader(body)), 0, room)
		if _, err := e.Next(); !errors.Is(err, memory.ErrNoRoom) {
			t.Errorf("%s: %v", name, err)
		}
		if got := cap(e.line) + cap(e.data); granted == 0 || int64(got) > held+64<<10 {
			t.Errorf("%s: %d bytes are held, %d were granted", name, got, granted)
		}
		e.Close()
	}
}
