//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runPart: the first part of some prompts crashes each replica that begins to answer
// them. Sound requests of the same caller share the other part.
func runPart(rec *recorder) (broken bool) {
	const (
		poisonFor = 22 * time.Second
		soundGap  = 500 * time.Millisecond
	)
	s := newStore()
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 8 {
		p := &replica{service: "munshi", id: fmt.Sprintf("i-m%d.0", i+1), zone: string(rune('a' + i%3)), software: "v1", model: true, store: s, rec: rec, events: 5, pause: 20 * time.Millisecond, downFor: 2 * time.Second}
		p.crashes = func(r *http.Request, _ string) bool {
			if !strings.HasPrefix(r.Header.Get("X-Prompt-Prefix"), "dead0001:") {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		}
		p.start()
	}
	configure(rec, s, 1, []object{streamRoute("munshi")}, []object{modelService("munshi")}, []object{tenant("x", "key-x", false)})
	nameWeights(s)
	startMachines(6, s.address())
	awaitReady(20 * time.Second)
	time.Sleep(26 * time.Second) // until the daemons have their parts of the retry budget
	type first struct {
		at    time.Time
		began bool
	}
	var sound []first
	var wg sync.WaitGroup
	done, asked := make(chan struct{}), make(chan struct{})
	ask := func(n int, part string, note bool) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := time.Now()
			a := send(rec, machines[n%len(machines)], call{method: http.MethodPost, path: "/note/1", host: "a.example", key: "key-x", body: "question " + newID(), model: modelName,
				parts: part + ":300,bb02:300," + newID()[:8] + ":226", wait: 14 * time.Second}, 0)
			if note {
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, first{at, len(a.events) > 0})
			}
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(soundGap):
				ask(n, "aa01", true)
				select {
				case asked <- struct{}{}:
				default:
				}
			}
		}
	}()
	time.Sleep(15 * time.Second)
	<-asked // the first of the requests that crash replicas comes 150 ms after a sound one
	time.Sleep(150 * time.Millisecond)
	from := time.Now()
	for n := 0; trouble && time.Since(from) < poisonFor; n++ {
		ask(5*n+1, "dead0001", false)
		pause := 200 * time.Millisecond
		if n >= 10 {
			pause = time.Second
		}
		time.Sleep(pause)
	}
	if !trouble {
		time.Sleep(poisonFor)
	}
	to := time.Now()
	time.Sleep(10 * time.Second)
	close(done)
	wg.Wait()
	last := from
	if n := len(crashes); n > 0 {
		last = crashes[min(n, 5)-1]
	}
	begin := last.Add(2 * contactTime)
	in, inBegan, out, outBegan := 0, 0, 0, 0
	for _, f := range sound {
		switch {
		case f.at.Before(from):
			out++
			if f.began {
				outBegan++
			}
		case f.at.After(begin) && f.at.Before(to):
			in++
			if f.began {
				inBegan++
			}
		}
	}
	verdict(rec, "LOST: %d crashes; from %v after the fifth (or last), %d of %d sound requests began at the first attempt; before, %d of %d", len(crashes), 2*contactTime, inBegan, in, outBegan, out)
	if in < 20 || out < 20 {
		must(fmt.Errorf("too few sound requests"))
	}
	return float64(inBegan)/float64(in) < 0.5*float64(outBegan)/float64(out)
}
