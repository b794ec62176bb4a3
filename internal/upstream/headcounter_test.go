package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
)

// headOf returns a head with a number of lines and its end.
func headOf(status string, lines int) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Repeat("A: b\r\n", lines-2) + "\r\n"
}

// Guards against heads of short fields, which take over thirty times their bytes when
// they are parsed. What follows a head must not count.
func TestLinesOfHeadsAreBounded(t *testing.T) {
	body := strings.Repeat("\n", 2*maxHeadLines)
	for name, tc := range map[string]struct {
		response string
		tooLong  bool
	}{
		"short":                               {headOf("200 OK", 10) + body, false},
		"longest":                             {headOf("200 OK", maxHeadLines) + body, false},
		"too long":                            {headOf("200 OK", maxHeadLines+1), true},
		"without an end":                      {"HTTP/1.1 200 OK\n" + strings.Repeat("a:\n", maxHeadLines), true},
		"line without an end":                 {"HTTP/1.1 200 OK\nA: " + strings.Repeat("a", 1<<20), false},
		"lines that end with a newline":       {"HTTP/1.1 200 OK\nA: b\n\n" + body, false},
		"after informational ones":            {headOf("103 Early Hints", 3) + headOf("100 Continue", 2) + headOf("200 OK", 10) + body, false},
		"too long after an informational one": {headOf("103 Early Hints", 3) + headOf("200 OK", maxHeadLines), true},
		"informational without an end":        {strings.Repeat(headOf("103 Early Hints", 2), maxHeadLines), true},
		"informational after spaces":          {strings.Repeat("HTTP/1.1   103 x\n\n", maxHeadLines), true},
		"status beyond what is kept":          {"HTTP/1.1" + strings.Repeat(" ", statusBytes) + "103 x\n" + strings.Repeat("\n", maxHeadLines), true},
		"blank lines":                         {strings.Repeat("\r\n", 2*maxHeadLines), true},
	} {
		for _, size := range []int{1, 7, 4096, 1 << 20} {
			var h headCounter
			var err error
			r := iotest.OneByteReader(strings.NewReader(tc.response))
			if size > 1 {
				r = strings.NewReader(tc.response)
			}
			for p := make([]byte, size); err == nil; {
				n, readErr := r.Read(p)
				if readErr != nil {
					break
				}
				_, err = h.read(p[:n])
			}
			if errors.Is(err, ErrTooLong) != tc.tooLong {
				t.Errorf("%s, %d bytes a read: %v", name, size, err)
			}
			if cap(h.line) > 2*statusBytes {
				t.Errorf("%s: %d bytes of a line are kept", name, cap(h.line))
			}
		}
	}
}

// A connection must count the lines of each response anew, and not those of bodies.
func TestLinesAreCountedForEachResponse(t *testing.T) {
	body := strings.Repeat("\n", 3*maxHeadLines)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fields, _ := strconv.Atoi(r.URL.Query().Get("fields"))
		for i := range fields {
			w.Header().Set(fmt.Sprint("X-", i), "x")
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	for i, tc := range []struct {
		fields  int
		tooLong bool
	}{{maxHeadLines - 20, false}, {maxHeadLines - 20, false}, {maxHeadLines, true}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprint(s.URL, "/?fields=", tc.fields), http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		res, err := RoundTrip(transport, req)
		if tc.tooLong {
			if !errors.Is(err, ErrTooLong) || !Sent(err) {
				t.Errorf("response %d: %v", i, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || string(got) != body || res.Reused != (i > 0) {
			t.Errorf("response %d: %d bytes, reused %t, %v", i, len(got), res.Reused, err)
		}
	}
}
