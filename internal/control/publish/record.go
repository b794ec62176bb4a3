// Package publish brings configurations into force on all VMs or on none.
// Candidates and verdicts are records of one stream of the platform's log, whose
// order decides races. Every daemon stages a candidate and checks it against its
// own recent traffic. A verdict with commit set brings it into force.
//
// Machine is the protocol as a pure state machine. Publisher runs it on the
// control goroutine with the log, the peers and the clock. Submitter publishes a
// configuration through the log.
package publish

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	pb "currantpulley/internal/control/publish/publishpb"
)

// A record in the log consists of one byte with the format version, four bytes
// with the CRC-32C of the encoded Record in big-endian order, and the encoded
// Record.
const (
	recordVersion = 1
	frameBytes    = 5        // format version and checksum
	maxRecord     = 12 << 20 // bytes of an encoded Record
)

// Errors of records that can't be decoded.
var (
	errRecordVersion = errors.New("unknown record version")
	errRecordKind    = errors.New("unknown record kind")
	errRecordCorrupt = errors.New("corrupt record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns r in the format of the log.
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

// decodeRecord decodes a record in the format of encodeRecord. Its errors wrap
// errRecordVersion, errRecordKind or errRecordCorrupt.
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
