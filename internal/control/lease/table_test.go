package lease

import (
	"context"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/lease/leasepb"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/logrecord"
)

const testLease = 10 * time.Second

// daemons are tables that share one log, with a manual clock.
type daemons struct {
	t      *testing.T
	now    time.Time
	log    *memlog.Log
	tables []*Table
}

func newDaemons(t *testing.T, n int) *daemons {
	d := &daemons{t: t, now: time.UnixMilli(1_700_000_000_000)}
	d.log = memlog.New(func() time.Time { return d.now })
	for range n {
		table := NewTable("vm")
		table.Start(1)
		d.tables = append(d.tables, table)
	}
	return d
}

// appendDue appends the record that is due at daemon i, if any, and returns it.
func (d *daemons) appendDue(i int) *leasepb.Record {
	r := d.tables[i].NextRecord(d.now)
	if r == nil {
		return nil
	}
	d.append(r)
	d.tables[i].AppendDone(r, false)
	return r
}

func (d *daemons) append(r *leasepb.Record) {
	d.t.Helper()
	data, err := logrecord.Encode(recordVersion, r)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.log.Append(context.Background(), backing.StreamLeases, data); err != nil {
		d.t.Fatal(err)
	}
}

func (d *daemons) readAll() {
	d.t.Helper()
	for _, table := range d.tables {
		records, err := d.log.Read(context.Background(), backing.StreamLeases, table.Next(), 100, 0)
		if err != nil {
			d.t.Fatal(err)
		}
		if err := table.Read(d.now, records); err != nil {
			d.t.Fatal(err)
		}
		table.Expire(d.now)
	}
}

func (d *daemons) held(i int) bool {
	_, ok := d.tables[i].Held(d.now, "g")
	return ok
}

func (d *daemons) advance(step time.Duration) { d.now = d.now.Add(step) }

func TestOneHolder(t *testing.T) {
	for name, run := range map[string]func(d *daemons) (first, second bool){
		"two claims at once": func(d *daemons) (bool, bool) {
			d.appendDue(0)
			d.appendDue(1)
			d.readAll()
			return true, false
		},
		"the lease of a paused holder expires": func(d *daemons) (bool, bool) {
			d.appendDue(0)
			d.readAll()
			d.advance(testLease)
			return false, false
		},
		"another daemon acquires an expired lease": func(d *daemons) (bool, bool) {
			d.appendDue(0)
			d.readAll()
			d.tables[0].Release("other")
			d.advance(testLease)
			d.appendDue(1)
			d.readAll()
			return false, true
		},
		"another daemon acquires a released lease": func(d *daemons) (bool, bool) {
			d.appendDue(0)
			d.readAll()
			d.tables[0].Release("g")
			d.appendDue(0)
			d.readAll()
			d.appendDue(1)
			d.readAll()
			return false, true
		},
		"a renewed lease is kept": func(d *daemons) (bool, bool) {
			d.appendDue(0)
			for range 10 {
				d.readAll()
				d.advance(testLease / 2)
				d.appendDue(0)
				d.appendDue(1)
			}
			d.readAll()
			return true, false
		},
		"a claim that is appended late is valid from before it was sent": func(d *daemons) (bool, bool) {
			r := d.tables[0].NextRecord(d.now)
			d.advance(testLease)
			d.append(r)
			d.tables[0].AppendDone(r, false)
			d.readAll()
			return false, false
		},
		"a claim after another daemon's unread claim is not granted": func(d *daemons) (bool, bool) {
			r := d.tables[0].NextRecord(d.now)
			d.appendDue(1)
			d.append(r)
			d.tables[0].AppendDone(r, false)
			d.readAll()
			return false, true
		},
		"a claim is valid from before it was sent, not from before the next one": func(d *daemons) (bool, bool) {
			r := d.tables[0].NextRecord(d.now)
			d.append(r)
			d.tables[0].AppendDone(r, false)
			d.advance(testLease - time.Second)
			d.appendDue(0)
			d.readAll()
			return false, false
		},
		"a daemon with an older configuration does not claim": func(d *daemons) (bool, bool) {
			d.tables[0].Acquire(d.now, "g", testLease, 2)
			d.appendDue(0)
			d.readAll()
			d.advance(testLease)
			d.appendDue(1)
			d.readAll()
			return false, false
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemons(t, 2)
			d.tables[0].Acquire(d.now, "g", testLease, 1)
			d.tables[1].Acquire(d.now, "g", testLease, 1)
			first, second := run(d)
			if d.held(0) != first || d.held(1) != second {
				t.Fatalf("held by the first: %v, by the second: %v; want %v, %v", d.held(0), d.held(1), first, second)
			}
		})
	}
}

func TestNoTrafficWithoutRequests(t *testing.T) {
	d := newDaemons(t, 1)
	d.tables[0].Acquire(d.now, "g", testLease, 1)
	d.appendDue(0)
	d.readAll()
	d.tables[0].Release("g")
	d.appendDue(0)
	d.readAll()
	d.advance(time.Hour)
	if r := d.appendDue(0); r != nil {
		t.Fatalf("record %v is due without a request", r)
	}
}

func TestBadRecordIsRejected(t *testing.T) {
	d := newDaemons(t, 1)
	if err := d.tables[0].Read(d.now, []backing.Record{{Offset: 1, Data: []byte("damaged")}}); err == nil {
		t.Fatal("Read accepted a damaged record")
	}
}
