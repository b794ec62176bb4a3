package calls

import (
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/logrecord"
)

const (
	recordVersion  = 1
	maxRecordBytes = 256 << 10
)

func encode(b *callspb.Batch) ([]byte, error) { return logrecord.Encode(recordVersion, b) }

func decode(record []byte) (*callspb.Batch, error) {
	b := new(callspb.Batch)
	return b, logrecord.Decode(recordVersion, record, b)
}
