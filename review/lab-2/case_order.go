//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// runOrder: connections of clients break now and then, and the clients take their streams
// up at other daemons. Some replicas crash, one after the other, and each is back soon
// under the id that it had, with another version of its software. Without the trouble
// none crashes, and three have that version from the start.
func runOrder(rec *recorder) (broken bool) {
	const (
		replicas = 7
		crashes  = 6
		down     = 800 * time.Millisecond
		gap      = 6 * time.Second
		perS     = 40 // new streams a second, of the 60 that the sheet has of parent-note
	)
	s := newStore()
	var all []*replica
	for i := range replicas {
		p := &replica{service: "munshi", id: fmt.Sprintf("i-m%d.0", i+1), zone: string(rune('a' + i%3)), software: "v1", model: true, store: s, rec: rec, events: 73, pause: 60 * time.Millisecond, downFor: down, keepsID: true}
		if !trouble && i < replicas/2 {
			p.software = "v2"
		}
		p.start()
		all = append(all, p)
	}
	configure(rec, s, 1, []object{streamRoute("munshi")}, []object{modelService("munshi")}, []object{tenant("x", "key-x", false)})
	nameWeights(s)
	startMachines(8, s.address())
	awaitReady(20 * time.Second)
	time.Sleep(10 * time.Second) // until the daemons know each other
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, taken := 0, 0, 0
	stream := func(n int) {
		defer wg.Done()
		c := call{method: http.MethodPost, path: "/note/1", host: "a.example", key: "key-x", body: "question", model: modelName,
			parts: newID()[:8] + ":600," + newID()[:8] + ":226", wait: 14 * time.Second}
		if n%2 == 0 {
			c.usage, c.parts = "9190,60", newID()[:8]+":6300,"+newID()[:8]+":2890"
		}
		deadline := time.Now().Add(c.wait)
		var software []string
		for try := range 2 { // the sheet has one retry
			c.wait = time.Until(deadline)
			if c.wait < 500*time.Millisecond {
				break
			}
			breaksAfter := 0
			if try == 0 {
				breaksAfter = 15 + rand.IntN(15) // events
			}
			a := send(rec, machines[(n+3*try)%len(machines)], c, breaksAfter)
			for _, v := range a.software {
				if !slices.Contains(software, v) {
					software = append(software, v)
				}
			}
			if len(a.events) > 0 {
				c.lastEvent = a.events[len(a.events)-1]
				if c.resumes == "" {
					c.resumes = a.id
				}
			}
			if a.complete && a.status == http.StatusOK {
				mu.Lock()
				whole++
				mu.Unlock()
				break
			}
			mu.Lock()
			taken++
			mu.Unlock()
			time.Sleep(max(a.retry, 100*time.Millisecond))
		}
		if len(software) > 1 {
			mu.Lock()
			mixed++
			mu.Unlock()
			rec.write("two versions in one stream", "began", c.resumes, "software", software)
		}
	}
	done := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second / perS):
				wg.Add(1)
				go stream(n)
			}
		}
	}()
	time.Sleep(8 * time.Second)
	for _, p := range all[:crashes] {
		if trouble {
			p.mu.Lock()
			p.software = "v2" // of its next start
			p.mu.Unlock()
			p.crash()
		}
		time.Sleep(gap)
	}
	close(done)
	wg.Wait()
	verdict(rec, "ORDER: %d streams hold events of replicas of two software versions; %d streams were whole, clients went on %d times", mixed, whole, taken)
	return mixed > 2
}

// addSoftware notes the version of the software that made an event.
func (a *answer) addSoftware(line string) {
	_, v, ok := strings.Cut(strings.TrimSpace(line), "of software ")
	if ok && !slices.Contains(a.software, v) {
		a.software = append(a.software, v)
	}
}
