//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// runWall: tenants x and y read the same document. Then a configuration makes x
// isolated, and y asks about the document again.
func runWall(rec *recorder) (broken bool) {
	s := newStore()
	type use struct {
		at     time.Time
		tenant string
		makers []string
	}
	var mu sync.Mutex
	var uses []use
	for i := range 3 {
		p := &replica{service: "munshi", id: "i-m" + string(rune('1'+i)) + ".0", zone: string(rune('a' + i)), software: "v1", model: true, store: s, rec: rec, events: 10, pause: 10 * time.Millisecond}
		p.onRun = func(p *replica, r *http.Request, _ string) {
			makers := p.useCache(r)
			rec.write("cache", "attempt", r.Header.Get("X-Attempt-Id"), "tenant", r.Header.Get("X-Tenant"), "salt", r.Header.Get("X-Cache-Salt"), "makers", makers)
			mu.Lock()
			defer mu.Unlock()
			uses = append(uses, use{time.Now(), r.Header.Get("X-Tenant"), makers})
		}
		p.start()
	}
	routes, services := []object{streamRoute("munshi")}, []object{modelService("munshi")}
	configure(rec, s, 1, routes, services, []object{tenant("x", "key-x", false), tenant("y", "key-y", false)})
	nameWeights(s)
	startMachines(6, s.address())
	awaitReady(20 * time.Second)
	ask := func(key string, n int) {
		for i := range n {
			send(rec, machines[i%len(machines)], call{
				method: http.MethodPost, path: "/note/1", host: "a.example", key: key, body: "question", model: modelName,
				parts: "aa01:600,bb02:200," + newID()[:8] + ":26", wait: 15 * time.Second,
			}, 0)
		}
	}
	ask("key-x", 12) // x's requests make the parts
	isolatedAt := configure(rec, s, 2, routes, services, []object{tenant("x", "key-x", trouble), tenant("y", "key-y", false)})
	time.Sleep(4 * time.Second) // configApplyMs is 2,000
	from := time.Now()
	ask("key-y", 12)
	mu.Lock()
	defer mu.Unlock()
	foreign := 0
	for _, u := range uses {
		if u.at.Before(from) || u.tenant != "y" {
			continue
		}
		for _, maker := range u.makers {
			if maker == "x" && trouble { // x is isolated
				foreign++
			}
		}
	}
	verdict(rec, "WALL: later than %v after x became isolated, requests of y used %d parts that x's requests had made", from.Sub(isolatedAt).Round(time.Millisecond), foreign)
	return foreign > 0
}
