package logrecord

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/types/known/structpb"
)

// Any bytes from the log must either decode or be refused with ErrBad, and a
// decoded message must survive encoding and decoding again.
func FuzzDecode(f *testing.F) {
	value, err := structpb.NewValue([]any{"key", 1.5, nil})
	if err != nil {
		f.Fatal(err)
	}
	record, err := Encode(1, value)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(record[:len(record)-1])
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, record []byte) {
		var m structpb.Value
		if err := Decode(1, record, &m); err != nil {
			if !errors.Is(err, ErrBad) {
				t.Fatalf("error %v is not ErrBad", err)
			}
			return
		}
		again, err := Encode(1, &m)
		if err != nil {
			t.Fatal(err)
		}
		if err := Decode(1, again, &structpb.Value{}); err != nil {
			t.Fatal(err)
		}
	})
}
