package quotas

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/peer"
	"currantpulley/internal/quota"
)

const testDeposit = 100 * time.Millisecond // between two deposits of a daemon

// daemon is the Quotas of one daemon with its server.
type daemon struct {
	*Quotas
	vm   fleet.VM
	ctx  context.Context // ends with the daemon
	stop context.CancelFunc
}

// startDaemons starts n daemons that know each other, and workspace w with a quota. They
// exchange tokens in calls of the test.
func startDaemons(t *testing.T, n int, w *catalog.Workspace) []*daemon {
	t.Helper()
	view := fleet.View{}
	daemons := make([]*daemon, n)
	watcher := catalog.NewWatcher()
	watcher.SetConfig(&catalog.Config{Version: 1, Workspaces: map[string]*catalog.Workspace{"key": w}})
	for i := range daemons {
		server, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(nil)
		t.Cleanup(pool.Close)
		d := &daemon{vm: fleet.VM{Name: fmt.Sprint("vm-", i), PeerAddress: server.Address()}}
		d.Quotas = New(Options{
			Pool: pool, Self: d.vm.Name, View: func() fleet.View { return view }, Recorder: event.Discard{}, Watcher: watcher,
			InContact: func() bool { return true },
		})
		d.Register(server.Server)
		d.ctx, d.stop = context.WithCancel(t.Context())
		t.Cleanup(d.stop)
		go func() { _ = server.Run(d.ctx) }()
		daemons[i] = d
		view.VMs = append(view.VMs, d.vm)
	}
	for _, d := range daemons {
		go d.Run(d.ctx)
		go d.exchangeAll(daemons)
	}
	return daemons
}

// exchangeAll gives d's tokens to the others until it ends.
func (d *daemon) exchangeAll(all []*daemon) {
	for d.ctx.Err() == nil {
		for _, other := range all {
			if other != d {
				deposits := d.Deposits(other.vm.Name)
				if err := other.ctx.Err(); err != nil {
					d.Unreached(other.vm.Name, err)
					continue
				}
				other.Receive(d.vm.Name, DecodeDeposits(EncodeDeposits(deposits)), d.Daemons(), 0)
			}
		}
		time.Sleep(testDeposit)
	}
}

// serve asks a daemon for requests for a time and returns how many it asked for and how
// many were admitted.
func (d *daemon) serve(t *testing.T, w *catalog.Workspace, rate float64, span time.Duration) (asked, admitted float64) {
	t.Helper()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for began := time.Now(); time.Since(began) < span; <-tick.C {
		asked++
		if _, _, ok := d.Charge(t.Context(), w, 1); ok {
			admitted++
		}
	}
	return asked, admitted
}

// Load that it answers: all requests of a workspace come to one daemon, at 0.8 of the
// quota, and the daemon that holds its tokens is lost in the middle.
func TestHolderIsLost(t *testing.T) {
	w := &catalog.Workspace{Name: "w", Quota: quota.Quota{Rate: 100, Burst: 100}}
	daemons := startDaemons(t, 5, w)
	time.Sleep(3500 * time.Millisecond) // until they mint
	daemons[0].mu.Lock()
	holder := daemons[0].holders[quota.IDOf("w")][0].Name
	daemons[0].mu.Unlock()
	var asker *daemon
	for _, d := range daemons {
		if d.vm.Name != holder {
			asker = d
		}
	}
	if asked, n := asker.serve(t, w, 80, 2*time.Second); n < 0.99*asked {
		t.Errorf("%g of %g requests below the quota were admitted", n, asked)
	}
	for _, d := range daemons {
		if d.vm.Name == holder {
			d.stop()
		}
	}
	// Until it notices, the asker loses some; then the second owner has what all others mint.
	if asked, n := asker.serve(t, w, 70, 3*time.Second); n < 0.7*asked {
		t.Errorf("%g of %g requests were admitted without the holder", n, asked)
	}
	if _, n := asker.serve(t, w, 1000, 3*time.Second); n > 100*(3+0.8)+100 {
		t.Errorf("%g requests were admitted in 3 s, the quota is 100 a second", n)
	}
}

// A refused caller learns when the quota covers its request, and a daemon doesn't ask
// the holder again at once.
func TestRefusalTellsWhenItIsCovered(t *testing.T) {
	w := &catalog.Workspace{Name: "w", Quota: quota.Quota{Rate: 100, Burst: 100, Unit: quota.Tokens}}
	daemons := startDaemons(t, 3, w)
	time.Sleep(3500 * time.Millisecond)
	d := daemons[1]
	for range 10 { // asking takes nothing
		if _, ok := d.Covers(t.Context(), w, 20); !ok {
			t.Fatal("a full quota doesn't cover a request")
		}
	}
	for range 1000 {
		if _, _, ok := d.Charge(t.Context(), w, 10); !ok {
			break
		}
	}
	_, wait, ok := d.Charge(t.Context(), w, 10)
	if ok || wait <= 0 || wait > 150*time.Millisecond {
		t.Fatalf("granted %t, wait %v for 10 tokens at 100 a second", ok, wait)
	}
	if wait, ok := d.Covers(t.Context(), w, 40); ok || wait > 450*time.Millisecond {
		t.Errorf("an empty quota covers 40 tokens: %t, else after %v", ok, wait)
	}
	if known := d.Refusal(w, 10); known <= 0 || known > wait {
		t.Errorf("known to be refused for %v, expected up to %v", known, wait)
	}
}

// What a daemon is given back for a request that did not run can be taken again.
func TestReturnedCharge(t *testing.T) {
	w := &catalog.Workspace{Name: "w", Quota: quota.Quota{Rate: 0.001, Burst: 10}}
	d := startDaemons(t, 1, w)[0]
	d.mu.Lock()
	d.loadConfig(freshness.Time())
	err := d.book.Put(quota.IDOf("w"), []quota.Lot{{Amount: 1}}, 0, freshness.Time())
	d.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c, _, ok := d.Charge(t.Context(), w, 1)
		if !ok {
			t.Fatal("refused")
		}
		d.Return(c)
	}
}

// Claims of a peer that can't be change nothing.
func TestFalseClaimsOfAPeer(t *testing.T) {
	w := &catalog.Workspace{Name: "w", Quota: quota.Quota{Rate: 100, Burst: 100}}
	d := startDaemons(t, 1, w)[0]
	time.Sleep(2 * period)
	for _, amount := range []float64{-1, math.NaN(), 1e9} {
		d.Receive("vm-9", []quota.Deposit{{Workspace: quota.IDOf("w"), Lots: []quota.Lot{{Amount: amount}}}}, 1<<30, 0)
	}
	if _, _, ok := d.Charge(t.Context(), w, 1); ok {
		t.Error("a request was admitted with tokens that can't be")
	}
	if n := d.Daemons(); n != 1 {
		t.Errorf("%d daemons are told to others", n)
	}
}

// Guards against refusals that nobody gave: a caller that leaves while the holder is asked
// says nothing of the quota, and others of its workspace must not be refused for it.
func TestCallerThatLeavesIsNoRefusal(t *testing.T) {
	w := &catalog.Workspace{Name: "w", Quota: quota.Quota{Rate: 1, Burst: 1}}
	d := startDaemons(t, 2, w)[0]
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if _, _, ok := d.Charge(ctx, w, 1000); ok {
		t.Fatal("charged")
	}
	if wait := d.Refusal(w, 1000); wait > 0 {
		t.Errorf("a request like it is refused for %v", wait)
	}
}
