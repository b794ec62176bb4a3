//go:build review

// Command 2: the store turns the machine that gives the orders away, and the one that
// takes over is restarted. Does the first one go on with its old fencing token?
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"currantpulley/review/lab"
)

const engines = 4

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/2")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer l.Close()
	var mu sync.Mutex
	var orders []lab.Order
	onOrder := func(o lab.Order) {
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, o)
		l.Logf("replica %s gets order of %s with token %d, version %d: %d", o.Replica, o.Holder, o.Token, o.Version, o.Status)
	}
	var all []*lab.Replica
	for i := range engines {
		p := &lab.Replica{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Engine: true, LoadTime: 600 * time.Millisecond}
		if err := p.Start(l.Store, onOrder, func(lab.Run) {}); err != nil {
			fmt.Println(err)
			return 2
		}
		all = append(all, p)
	}
	at := func(version int) bool { // all engines have the version
		for _, p := range all {
			if p.Version() != version {
				return false
			}
		}
		return true
	}
	l.PutConfig(1, lab.Tenant{Name: "north", Keys: []string{"key"}})
	l.PutVersion(1)
	for range 2 {
		d, err := l.AddDaemon(false)
		if err == nil {
			err = d.Start()
		}
		if err != nil || !d.AwaitReady(10*time.Second) {
			fmt.Println("a daemon does not start", err)
			return 2
		}
		time.Sleep(2 * time.Second) // the first one becomes the holder
	}
	await := func(version int, most time.Duration) bool {
		for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if at(version) {
				l.Logf("all engines have weights %d", version)
				return true
			}
		}
		l.Logf("not all engines have weights %d", version)
		return false
	}
	time.Sleep(3 * time.Second)
	l.PutVersion(2)
	if !await(2, 12*time.Second) {
		return 2
	}
	first, second := l.Daemons[0], l.Daemons[1]
	if l.Trouble {
		l.Logf("store: turns %s away", first.Name)
		l.Store.Refuse(0, true)
		began := time.Now()
		time.Sleep(time.Second)
		l.PutVersion(3)
		if !await(3, 7500*time.Millisecond) {
			return 2
		}
		second.Signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		l.Store.Refuse(0, false)
		l.Logf("store: serves %s again, after %v", first.Name, time.Since(began))
		second.Wait(lab.GraceS * time.Second)
		time.Sleep(200 * time.Millisecond)
		if err := second.Start(); err != nil {
			return 2
		}
	} else {
		l.PutVersion(3)
		if !await(3, 12*time.Second) {
			return 2
		}
	}
	l.PutVersion(4)
	await(4, 12*time.Second)
	mu.Lock()
	defer mu.Unlock()
	lower := 0
	highest := make(map[string]uint64)
	for _, o := range orders {
		if o.Token < highest[o.Replica] {
			lower++
		}
		highest[o.Replica] = max(highest[o.Replica], o.Token)
	}
	l.Logf("%d orders with a lower fencing token after a higher one", lower)
	fmt.Printf("ONE: %d of %d orders reached a replica with a lower fencing token after a higher one\n", lower, len(orders))
	if lower > 0 {
		return 1
	}
	return 0
}
