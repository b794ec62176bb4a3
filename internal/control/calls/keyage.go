package calls

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"currantpulley/internal/refusal"
)

const (
	uuidBytes     = 16
	uuidTextBytes = 36
	clockSkewMax  = 5 * time.Minute // tolerated between the caller's clock and this daemon's
)

// keyTime returns the creation time of a key that is a UUID of version 7
// (RFC 9562), whose first 48 bits are milliseconds since the Unix epoch. It
// returns false for other keys.
func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidTextBytes {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(ms)), true
}

// checkKeyAge refuses keys that are known to be older than the horizon, since
// the record of their first call may have expired. It also refuses keys from
// the future: they would pass this check even after their record expired. The
// error is a *refusal.Error.
func checkKeyAge(now time.Time, key string, horizon time.Duration) error {
	made, ok := keyTime(key)
	if !ok {
		return nil
	}
	skew := min(clockSkewMax, horizon/4)
	if now.Sub(made) > horizon-skew {
		return refusal.NewUnknown(refusal.OutcomeUnknown, nil, "the idempotency key is older than the time for which calls are remembered")
	}
	if made.Sub(now) > skew {
		return refusal.New(refusal.BadRequest, "the idempotency key was made in the future")
	}
	return nil
}
