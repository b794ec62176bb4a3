package memlog

import (
	"context"
	"errors"
	"testing"

	"currantpulley/internal/backing"
)

func TestAppendFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   Fault
		down    bool
		err     error
		records int
	}{
		{"healthy", None, false, nil, 1},
		{"refused", Refused, false, backing.ErrUnavailable, 0},
		{"reply lost before the effect", LostBefore, false, backing.ErrUnknownOutcome, 0},
		{"reply lost after the effect", LostAfter, false, backing.ErrUnknownOutcome, 1},
		{"outage", None, true, backing.ErrUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			l := New(nil)
			l.Inject(c.fault)
			l.SetDown(c.down)
			if _, err := l.Append(ctx, "s", []byte("x")); !errors.Is(err, c.err) {
				t.Fatalf("Append: %v, want %v", err, c.err)
			}
			l.SetDown(false)
			records, err := l.Read(ctx, "s", 1, 10, 0)
			if err != nil || len(records) != c.records {
				t.Fatalf("Read: %d records, %v; want %d", len(records), err, c.records)
			}
		})
	}
}

func TestTrimAndWait(t *testing.T) {
	ctx := context.Background()
	l := New(nil)
	for range 3 {
		if _, err := l.Append(ctx, "s", nil); err != nil {
			t.Fatal(err)
		}
	}
	l.Trim("s", 3)
	if _, err := l.Read(ctx, "s", 2, 1, 0); !errors.Is(err, backing.ErrTrimmed) {
		t.Fatalf("read below retention: %v", err)
	}
	if first, next, err := l.Bounds(ctx, "s"); first != 3 || next != 4 || err != nil {
		t.Fatalf("Bounds: %d, %d, %v", first, next, err)
	}
	go l.Append(ctx, "s", []byte("late"))
	records, err := l.Read(ctx, "s", 4, 1, 1<<40)
	if err != nil || len(records) != 1 || string(records[0].Data) != "late" {
		t.Fatalf("waiting read: %v, %v", records, err)
	}
}
