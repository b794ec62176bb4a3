//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runOrigins: replicas of two software versions serve side by side. The connections of
// clients break, and they take their streams up some seconds later. With the trouble, all
// daemons are killed when the connections break.
func runOrigins(rec *recorder) (broken bool) {
	s := newStore()
	for i := range 6 {
		p := &replica{service: "munshi", id: fmt.Sprintf("i-m%d.0", i+1), zone: string(rune('a' + i%3)), software: fmt.Sprintf("v%d", 1+i%2), model: true, store: s, rec: rec, events: 73, pause: 100 * time.Millisecond}
		p.start()
	}
	configure(rec, s, 1, []object{streamRoute("munshi")}, []object{modelService("munshi")}, []object{tenant("x", "key-x", false)})
	nameWeights(s)
	startMachines(6, s.address())
	awaitReady(20 * time.Second)
	time.Sleep(8 * time.Second) // steady state: the daemons know each other and the builds are kept
	newCall := func() call {
		return call{method: http.MethodPost, path: "/note/1", host: "a.example", key: "key-x", body: "question", model: modelName,
			parts: newID()[:8] + ":600," + newID()[:8] + ":226", wait: 14 * time.Second}
	}
	const streams = 40
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, wentOn, began, asked := 0, 0, 0, 0
	broke := make(chan struct{})
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newCall()
			first := send(rec, machines[i%len(machines)], c, 20) // breaks after about 2 s
			deadline := first.sentAt.Add(c.wait)
			if len(first.events) == 0 {
				return
			}
			<-broke
			// The client comes back when the daemons are in touch again, and retries once.
			time.Sleep(4500 * time.Millisecond)
			isTaken, goesOn := false, false
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				if isTaken {
					taken++
				}
				if goesOn {
					wentOn++
				}
			}()
			c.lastEvent, c.resumes, c.wait = first.events[len(first.events)-1], first.id, time.Until(deadline)
			m := machines[(i+1)%len(machines)]
			if !m.inTouch(time.Now()) || !m.isReady() {
				return
			}
			a := send(rec, m, c, 0)
			isTaken, goesOn = true, len(a.events) > 0 && a.events[0] == c.lastEvent+1
		}()
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		rec.write("all daemons are killed")
		killAll(500 * time.Millisecond)
		rec.write("all daemons are started again")
	}
	close(broke)
	time.Sleep(4500 * time.Millisecond)
	for i := range streams { // new streams at the same time
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := send(rec, machines[i%len(machines)], newCall(), 5)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if len(a.events) > 0 {
				began++
			}
		}()
	}
	wg.Wait()
	verdict(rec, "LOST: of %d streams that clients took up again at machines in touch, %d went on; of %d new streams there, %d began", taken, wentOn, asked, began)
	if taken < 12 || asked == 0 {
		must(fmt.Errorf("too few streams were taken up: %d", taken))
	}
	return float64(wentOn)/float64(taken) < 0.5*float64(began)/float64(asked)
}
