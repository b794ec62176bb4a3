// Package logrecord encodes the records that daemons write to the platform's
// log. A record has a version byte, an xxHash64 checksum of the payload and the
// payload, a protobuf message. A reader that can't decode a record must stop
// acting on that stream and report it.
package logrecord

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	checksumBytes = 8
	headerBytes   = 1 + checksumBytes
)

// ErrBad is returned for a record that is corrupt or of an unknown version.
var ErrBad = errors.New("record can't be decoded")

// Encode returns the record that holds m under the given version.
func Encode(version byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	record := make([]byte, headerBytes, headerBytes+len(payload))
	record[0] = version
	binary.LittleEndian.PutUint64(record[1:], xxhash.Sum64(payload))
	return append(record, payload...), nil
}

// Decode decodes the message of a record of the given version into m. All its
// errors wrap ErrBad.
func Decode(version byte, record []byte, m proto.Message) error {
	if len(record) < headerBytes {
		return fmt.Errorf("%w: %d bytes are shorter than the header", ErrBad, len(record))
	}
	if record[0] != version {
		return fmt.Errorf("%w: version is %d, not %d", ErrBad, record[0], version)
	}
	payload := record[headerBytes:]
	if binary.LittleEndian.Uint64(record[1:]) != xxhash.Sum64(payload) {
		return fmt.Errorf("%w: wrong checksum", ErrBad)
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", ErrBad, err)
	}
	return nil
}
