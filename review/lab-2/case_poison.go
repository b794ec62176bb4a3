//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runPoison: a request crashes each replica that begins to run it, and comes again every
// poisonPause, at one machine after the other. With the trouble, all daemons are killed
// once.
func runPoison(rec *recorder) (broken bool) {
	const (
		poisonPause = 3500 * time.Millisecond
		killAfter   = 42 * time.Second
		length      = 95 * time.Second
	)
	s := newStore()
	var mu sync.Mutex
	var crashes []time.Time
	inTouch := make(map[string]bool) // by attempt: sent to a machine in touch
	retries := 0
	for i := range 3 {
		p := &replica{service: "desk", id: fmt.Sprintf("i-d%d.0", i+1), zone: string(rune('a' + i)), software: "v1", store: s, rec: rec, work: 15 * time.Millisecond, downFor: 2 * time.Second}
		p.crashes = func(r *http.Request, body string) bool {
			if body != "poison" {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			if len(crashes) >= 3 && now.Sub(crashes[2]) > contactTime && inTouch[r.Header.Get("X-Attempt-Id")] {
				retries++
			}
			crashes = append(crashes, now)
			return true
		}
		p.start()
	}
	configure(rec, s, 1, []object{plainRoute("book", "unsafe", "desk")}, []object{plainService("desk")}, []object{tenant("x", "key-x", false)})
	startMachines(4, s.address())
	awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	began := time.Now()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // sound requests beside it
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(250 * time.Millisecond):
				send(rec, machines[i%len(machines)], call{method: http.MethodPost, path: "/book/1", host: "a.example", key: "key-x", body: "sound " + newID(), wait: 4 * time.Second}, 0)
			}
		}
	}()
	killed := !trouble
	for i := 0; time.Since(began) < length; i++ {
		if !killed && time.Since(began) >= killAfter {
			killed = true
			rec.write("all daemons are killed")
			killAll(500 * time.Millisecond)
			rec.write("all daemons are started again")
			time.Sleep(poisonPause)
		}
		m := machines[i%len(machines)]
		c := call{method: http.MethodPost, path: "/book/7", host: "a.example", key: "key-x", body: "poison", wait: 4 * time.Second}
		sendNoted(rec, m, c, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			inTouch[id] = m.inTouch(time.Now())
		})
		time.Sleep(poisonPause)
	}
	close(done)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	verdict(rec, "BUDGET: the request crashed replicas %d times, %d of them in retries sent by machines in touch later than %v after its third crash", len(crashes), retries, contactTime)
	return retries > 3
}
