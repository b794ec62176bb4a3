package record

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of what an upstream must get as the caller sent it: method,
// path, body and further headers.
func Digest(method, path, body string, headers ...string) string {
	h := xxhash.New()
	for _, part := range append([]string{method, path, body}, headers...) {
		_, _ = fmt.Fprintf(h, "%d %s ", len(part), part) // never fails
	}
	return fmt.Sprintf("%x", h.Sum64())
}

// Body returns the body of an upstream's answer to an attempt: it names the attempt,
// the seal and its own size.
func Body(attempt, seal string, size int) string {
	head := fmt.Sprintf("%s %s %d\n", attempt, seal, size)
	if len(head) >= size {
		return fmt.Sprintf("%s %s %d\n", attempt, seal, 0)
	}
	return head + strings.Repeat(".", size-len(head))
}

// CheckBody returns what is wrong with the body of an answer to an attempt, or "".
func CheckBody(attempt, seal, body string) string {
	head, _, ok := strings.Cut(body, "\n")
	fields := strings.Fields(head)
	if !ok || len(fields) != 3 {
		return "the body is not an upstream's"
	}
	size, err := strconv.Atoi(fields[2])
	switch {
	case err != nil:
		return "the body is not an upstream's"
	case fields[0] != attempt:
		return "the body belongs to attempt " + fields[0]
	case fields[1] != seal:
		return "the body does not belong to the seal"
	case Body(attempt, seal, size) != body:
		return fmt.Sprintf("the body has %d bytes and is not whole", len(body))
	}
	return ""
}
