package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes written as text in TOML, such as "32MiB".
type Size int64

// sizeUnits lists the units of sizes, largest first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalText parses a whole number followed by one of the units B, KiB, MiB
// and GiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size such as \"32MiB\"", text)
}

// String returns the size as a whole number of the largest possible unit.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// MarshalText returns the size in the form that UnmarshalText reads.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Bytes returns s as a number of bytes.
func (s Size) Bytes() int64 { return int64(s) }
