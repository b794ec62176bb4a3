package refusal

import (
	"fmt"
	"strings"
)

// maxQuoted is the number of bytes of a text that a message repeats: what a caller sent may
// be as large as a body.
const maxQuoted = 256

// message formats args, of which it cuts long texts.
func message(format string, args ...any) string {
	for i, a := range args {
		switch a := a.(type) {
		case string:
			args[i] = cut(a)
		case error:
			args[i] = cut(a.Error())
		}
	}
	return fmt.Sprintf(format, args...)
}

// cut returns s, or its beginning if it is longer than maxQuoted bytes.
func cut(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
}
