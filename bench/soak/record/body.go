package record

import (
	"fmt"
	"strconv"
	"strings"
)

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
