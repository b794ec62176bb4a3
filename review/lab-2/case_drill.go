//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// runDrill: a key is taken away. Later the store comes back from a copy that still has
// the key, while a daemon is stopped and started again as planned. The operator writes the
// configuration again a moment later. Without the trouble the store isn't restored.
func runDrill(rec *recorder) (broken bool) {
	const rewritten = 1500 * time.Millisecond // after the store is back
	s := newStore()
	var mu sync.Mutex
	var revokedAt time.Time
	late := 0
	sentAt := make(map[string]time.Time) // attempts with the key that was taken away
	for i := range 3 {
		p := &replica{service: "desk", id: fmt.Sprintf("i-d%d.0", i+1), zone: string(rune('a' + i)), software: "v1", store: s, rec: rec, work: 15 * time.Millisecond}
		p.onRun = func(_ *replica, r *http.Request, _ string) {
			mu.Lock()
			defer mu.Unlock()
			at, ok := sentAt[r.Header.Get("X-Attempt-Id")]
			if ok && !revokedAt.IsZero() && at.Sub(revokedAt) > 5*time.Second {
				late++
				rec.write("runs with a key that was taken away", "attempt", r.Header.Get("X-Attempt-Id"), "since_ms", at.Sub(revokedAt).Milliseconds())
			}
		}
		p.start()
	}
	routes, services := []object{plainRoute("book", "unsafe", "desk")}, []object{plainService("desk")}
	both := []object{tenant("x", "key-x", false), tenant("z", "key-z", false)}
	configure(rec, s, 1, routes, services, both)
	startMachines(5, s.address())
	awaitReady(20 * time.Second)
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Add(1)
		go func() { // clients with the key that will be taken away
			defer wg.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				sendNoted(rec, m, call{method: http.MethodPost, path: "/book/1", host: "a.example", key: "key-z", body: "x", wait: 2 * time.Second}, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					sentAt[id] = time.Now()
				})
			}
		}()
	}
	time.Sleep(2 * time.Second)
	restore := s.copy()
	copied := time.Now()
	time.Sleep(300 * time.Millisecond)
	at := configure(rec, s, 2, routes, services, both[:1])
	mu.Lock()
	revokedAt = at
	mu.Unlock()
	time.Sleep(2400 * time.Millisecond)
	m := machines[0]
	m.signal(syscall.SIGTERM) // planned work
	rec.write("SIGTERM", "machine", m.name)
	_ = m.process.Wait()
	rec.write("the daemon has ended", "machine", m.name)
	if trouble {
		s.setAway(true)
		rec.write("the store is away")
		time.Sleep(400 * time.Millisecond)
		restore()
		s.setAway(false)
		rec.write("the store is back from a copy", "older_ms", time.Since(copied).Milliseconds())
		time.AfterFunc(rewritten, func() { configure(rec, s, 2, routes, services, both[:1]) })
	}
	m.start()
	time.Sleep(6 * time.Second)
	close(done)
	wg.Wait()
	verdict(rec, "CONFIG: %d requests ran that were sent later than 5s after their key was taken away", late)
	return late > 0
}
