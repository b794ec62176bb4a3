package publish

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/config"
	pb "currantpulley/internal/control/publish/publishpb"
)

// goodRecord returns a valid record in the format of the log.
func goodRecord(t testing.TB) []byte {
	data, err := encodeRecord(verdictRecord(&pb.Verdict{Candidate: 3, Commit: true, Vm: "vm-1"}))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestDecodeRecordErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func([]byte) []byte
		want error
	}{
		{"whole", func(b []byte) []byte { return b }, nil},
		{"empty", func([]byte) []byte { return nil }, errRecordCorrupt},
		{"cut", func(b []byte) []byte { return b[:len(b)-1] }, errRecordCorrupt},
		{"bit flipped", func(b []byte) []byte { b[len(b)-1] ^= 1; return b }, errRecordCorrupt},
		{"later format", func(b []byte) []byte { b[0]++; return b }, errRecordVersion},
		{"unknown kind", func([]byte) []byte {
			data, _ := encodeRecord(&pb.Record{})
			return data
		}, errRecordKind},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodeRecord(c.edit(goodRecord(t))); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// TestUnreadableRecordStopsPublishingOnly checks that after a record that can't be
// decoded the version in force stays, candidates are refused, and an InForce
// record ends the halt.
func TestUnreadableRecordStopsPublishingOnly(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMachine("vm-1", DefaultTiming(), now)
	content := []byte("content")
	hash := config.ContentHash(content)
	state := inForceRecord(&pb.InForce{Version: 1, Hash: hash, Payload: &pb.Payload{Data: compress(content)}})
	m.LogRead(now, now, []entry{{offset: 1, record: state}, {offset: 2, err: errRecordCorrupt}}, true)
	if m.Version() != 1 || m.Detached() {
		t.Fatalf("version %d, detached %t", m.Version(), m.Detached())
	}
	reply := m.Stage(now, &pb.StageRequest{Candidate: 3, Parent: 1, From: "vm-2"})
	if reply.GetAnswer() != pb.Answer_ANSWER_NACK || !strings.Contains(reply.GetRefusals()[0].GetReason(), "record 2") {
		t.Fatalf("reply %v", reply)
	}
	m.LogRead(now, now, []entry{{offset: 3, record: state}}, true)
	if reply := m.Stage(now, &pb.StageRequest{Candidate: 4, Parent: 1}); reply.GetAnswer() != pb.Answer_ANSWER_NEED_CONTENT {
		t.Fatalf("after the halt: %v", reply)
	}
}

// TestSmallEditOfALargeContentIsSmall checks that the payload of a small edit is a
// small delta that can only be decoded with its base.
func TestSmallEditOfALargeContentIsSmall(t *testing.T) {
	var b bytes.Buffer
	for i := range 20_000 {
		fmt.Fprintf(&b, "[workspaces.w%d]\nkey_sha256 = [\"%s\"]\n", i, config.ContentHash([]byte(fmt.Sprint(i))))
	}
	old := b.Bytes()
	edited := append(append([]byte(nil), old...), "# one more line\n"...)
	base := &fullRecord{offset: 7, data: compress(old)}
	p, err := encodePayload(edited, base)
	if err != nil || p.GetBase() != 7 || len(p.GetData()) > 4096 {
		t.Fatalf("%d bytes on record %d for %d bytes of content, %v", len(p.GetData()), p.GetBase(), len(edited), err)
	}
	got, err := decodePayload(p, config.ContentHash(edited), []fullRecord{*base})
	if err != nil || !bytes.Equal(got, edited) {
		t.Fatalf("decoded %d bytes, %v", len(got), err)
	}
	if _, err := decodePayload(p, config.ContentHash(edited), nil); err == nil {
		t.Fatal("decoded without the base")
	}
}

// FuzzDecodeRecord checks that arbitrary data from the log causes no panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(goodRecord(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHistory(1)
		h.read(newEntryForTest(data))
		if record, err := decodeRecord(data); err == nil && record.GetCandidate() != nil {
			_, _ = decodePayload(record.GetCandidate().GetPayload(), "", nil)
		}
	})
}

func newEntryForTest(data []byte) entry {
	record, err := decodeRecord(data)
	return entry{offset: 1, record: record, err: err}
}
