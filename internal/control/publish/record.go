// Package publish brings configurations into force: everywhere or nowhere.
// Candidates and verdicts stand in one stream of the platform's log, whose
// order decides races. Every daemon stages a candidate and checks it against
// its own recent traffic; one commit record brings it into force.
//
// Machine is the protocol as a pure state machine; Publisher runs it on the
// control goroutine with the log, the peers and the clock.
package publish

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	pb "currantpulley/internal/control/publish/publishpb"
)

// A record in the log is one byte with the version of the format, four bytes
// with the CRC-32C of the rest in big-endian order, and the encoded Record.
const (
	recordVersion = 1
	frameBytes    = 5
	maxRecord     = 12 << 20 // bytes
)

// Errors of records that can't be followed.
var (
	errRecordVersion = errors.New("unknown record version")
	errRecordKind    = errors.New("unknown record kind")
	errRecordCorrupt = errors.New("damaged record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns r as it is appended to the log.
func encodeRecord(r *pb.Record) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(body) > maxRecord {
		return nil, fmt.Errorf("encode record: %d bytes, expected at most %d", len(body), maxRecord)
	}
	data := make([]byte, frameBytes, frameBytes+len(body))
	data[0] = recordVersion
	binary.BigEndian.PutUint32(data[1:], crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

// decodeRecord reads what encodeRecord wrote.
func decodeRecord(data []byte) (*pb.Record, error) {
	if len(data) < frameBytes {
		return nil, fmt.Errorf("%w: %d bytes", errRecordCorrupt, len(data))
	}
	if data[0] != recordVersion {
		return nil, fmt.Errorf("%w %d", errRecordVersion, data[0])
	}
	body := data[frameBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[1:frameBytes]) {
		return nil, fmt.Errorf("%w: the checksum differs", errRecordCorrupt)
	}
	r := &pb.Record{}
	if err := proto.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecordCorrupt, err)
	}
	if r.Kind == nil {
		return nil, errRecordKind
	}
	return r, nil
}

func candidateRecord(c *pb.Candidate) *pb.Record {
	return &pb.Record{Kind: &pb.Record_Candidate{Candidate: c}}
}

func verdictRecord(v *pb.Verdict) *pb.Record {
	return &pb.Record{Kind: &pb.Record_Verdict{Verdict: v}}
}

func inForceRecord(f *pb.InForce) *pb.Record {
	return &pb.Record{Kind: &pb.Record_InForce{InForce: f}}
}

func confirmationRecord(c *pb.Confirmation) *pb.Record {
	return &pb.Record{Kind: &pb.Record_Confirmation{Confirmation: c}}
}
