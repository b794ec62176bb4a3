package publish

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"currantpulley/internal/config"
	pb "currantpulley/internal/control/publish/publishpb"
)

const (
	maxContent   = 64 << 20 // maximum bytes of a canonical form
	deltaWindow  = 32 << 20 // bytes; covers the base and the content
	dictionaryID = 1
	// minDeltaGain is the factor by which a delta must be smaller than the whole
	// payload to justify its dependence on an older record.
	minDeltaGain = 4
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxContent)))
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // only constant options are passed
	}
	return value
}

// compress returns content compressed without a base.
func compress(content []byte) []byte { return encoder.EncodeAll(content, nil) }

func decompress(data []byte) ([]byte, error) {
	content, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	return content, nil
}

// fullRecord is a record whose payload has no base. Its data stays compressed.
type fullRecord struct {
	offset uint64
	data   []byte
}

// encodePayload compresses content, as a delta against base if that is smaller
// by minDeltaGain. If base is nil, it compresses the whole content.
func encodePayload(content []byte, base *fullRecord) (*pb.Payload, error) {
	whole := &pb.Payload{Data: compress(content)}
	if base == nil {
		return whole, nil
	}
	dictionary, err := decompress(base.data)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(deltaWindow),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	delta := w.EncodeAll(content, nil)
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if len(delta)*minDeltaGain > len(whole.Data) {
		return whole, nil
	}
	return &pb.Payload{Base: base.offset, Data: delta}, nil
}

// decodePayload returns the content of p and verifies its hash. It looks up the
// base of a delta in fullRecords.
func decodePayload(p *pb.Payload, hash string, fullRecords []fullRecord) ([]byte, error) {
	content, err := decodeData(p, fullRecords)
	if err != nil {
		return nil, err
	}
	return content, verifyHash(content, hash)
}

// verifyHash returns an error if the hash of content is not hash.
func verifyHash(content []byte, hash string) error {
	if got := config.ContentHash(content); got != hash {
		return fmt.Errorf("content hash is %.12s, expected %.12s", got, hash)
	}
	return nil
}

func decodeData(p *pb.Payload, fullRecords []fullRecord) ([]byte, error) {
	if p.GetBase() == 0 {
		return decompress(p.GetData())
	}
	for _, f := range fullRecords {
		if f.offset == p.GetBase() {
			return decodeDelta(p.GetData(), f.data)
		}
	}
	return nil, fmt.Errorf("base record %d of the payload is not available", p.GetBase())
}

func decodeDelta(data, base []byte) ([]byte, error) {
	dictionary, err := decompress(base)
	if err != nil {
		return nil, err
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxContent),
		zstd.WithDecoderMaxWindow(deltaWindow), zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	defer r.Close()
	content, err := r.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	return content, nil
}
