//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runOddEntry: another writer writes an entry with fields missing over that of a replica
// of the service desk, four times in five seconds. The entry names the service shop.
func runOddEntry(rec *recorder) (broken bool) {
	s := newStore()
	var mu sync.Mutex
	wrong := 0
	var desk *replica
	for i, service := range []string{"shop", "shop", "desk", "desk"} {
		p := &replica{service: service, id: fmt.Sprintf("i-%s%d.0", service, i+1), zone: string(rune('a' + i%3)), software: "v1", store: s, rec: rec, work: 15 * time.Millisecond}
		p.onRun = func(p *replica, r *http.Request, _ string) {
			if (p.service == "desk") != (r.URL.Path == "/desk/1") {
				mu.Lock()
				wrong++
				mu.Unlock()
				rec.write("run by another service", "service", p.service, "path", r.URL.Path, "attempt", r.Header.Get("X-Attempt-Id"))
			}
		}
		p.start()
		if service == "desk" {
			desk = p
		}
	}
	configure(rec, s, 1, []object{plainRoute("shop", "unsafe", "shop"), plainRoute("desk", "unsafe", "desk")},
		[]object{plainService("shop"), plainService("desk")}, []object{tenant("x", "key-x", false)})
	startMachines(3, s.address())
	awaitReady(20 * time.Second)
	began := time.Now()
	written := 0
	for i := 0; time.Since(began) < 15*time.Second; i++ {
		if trouble && written < 4 && time.Since(began) > 5*time.Second+time.Duration(written)*1300*time.Millisecond {
			written++
			odd, _ := json.Marshal(object{"service": "shop", "address": desk.address, "state": "ready"})
			s.put("keyed.servers", desk.id, odd)
			rec.write("odd entry written", "key", desk.id, "entry", json.RawMessage(odd))
		}
		path := []string{"/shop/1", "/desk/1"}[i%2]
		send(rec, machines[i%len(machines)], call{method: http.MethodPost, path: path, host: "a.example", key: "key-x", body: "x", wait: 4 * time.Second}, 0)
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	verdict(rec, "ROUTE: %d requests were run by a service to which no configuration lets them go", wrong)
	return wrong > 0
}
