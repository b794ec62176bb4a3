//go:build review

// Command chaos plays random troubles of some kinds and checks orders.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantpulley/review/lab"
)

func main() { os.Exit(run()) }

func run() int {
	daemons, _ := strconv.Atoi(os.Getenv("DAEMONS"))
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	fenced := os.Getenv("FENCED") != ""
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	rnd := rand.New(rand.NewPCG(seed, 7))
	dir, _ := os.MkdirTemp("", "chaos-")
	l, err := lab.New(dir)
	if err != nil {
		panic(err)
	}
	defer l.Close()
	var mu sync.Mutex
	var orders []lab.Order
	thawed := map[string]time.Time{}
	onOrder := func(o lab.Order) {
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, o)
		l.Logf("replica %s gets order of %s with token %d.%d, version %d: %d", o.Replica, o.Holder, o.Token>>32, o.Token&0xffffffff, o.Version, o.Status)
	}
	var all []*lab.Replica
	for i := range 4 {
		p := &lab.Replica{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Engine: true, LoadTime: 300 * time.Millisecond, Fenced: fenced}
		if err := p.Start(l.Store, onOrder, func(lab.Run) {}); err != nil {
			panic(err)
		}
		all = append(all, p)
	}
	l.PutConfig(1, lab.Tenant{Name: "north", Keys: []string{"key"}})
	l.PutVersion(1)
	for range daemons {
		d, err := l.AddDaemon(fenced)
		if err == nil {
			err = d.Start()
		}
		if err != nil {
			panic(err)
		}
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	version := 1
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(1500 * time.Millisecond)
			version++
			for !l.PutVersion(version) {
				time.Sleep(200 * time.Millisecond)
			}
		}
	})
	for range 2 {
		wg.Go(func() {
			for time.Now().Before(end) {
				mu.Lock()
				kind := kinds[rnd.IntN(len(kinds))]
				i := rnd.IntN(daemons)
				length := time.Duration(2000+rnd.IntN(4000)) * time.Millisecond
				gap := time.Duration(rnd.IntN(2000)) * time.Millisecond
				mu.Unlock()
				d := l.Daemons[i]
				l.Logf("trouble %s at %d for %v", kind, i, length)
				switch kind {
				case "refuse":
					l.Store.Refuse(i, true)
					time.Sleep(length)
					l.Store.Refuse(i, false)
				case "hang":
					l.Store.Hang(i, true)
					time.Sleep(length)
					l.Store.Hang(i, false)
				case "freeze":
					d.Signal(syscall.SIGSTOP)
					time.Sleep(length)
					mu.Lock()
					thawed[d.Name] = time.Now()
					mu.Unlock()
					d.Signal(syscall.SIGCONT)
				case "kill":
					_ = d.Restart(syscall.SIGKILL)
				case "term":
					_ = d.Restart(syscall.SIGTERM)
				case "away":
					l.Store.SetAway(true)
					time.Sleep(length)
					l.Store.SetAway(false)
				case "restore":
					r := l.Store.Copy()
					time.Sleep(length)
					l.Store.SetAway(true)
					time.Sleep(time.Second)
					r()
					l.Store.SetAway(false)
					time.Sleep(time.Second)
					l.PutConfig(1, lab.Tenant{Name: "north", Keys: []string{"key"}})
					l.PutVersion(version)
				}
				l.Logf("trouble %s at %d ends", kind, i)
				time.Sleep(gap)
			}
		})
	}
	wg.Wait()
	time.Sleep(13 * time.Second)
	behind := 0
	for _, p := range all {
		if p.Version() < version {
			behind++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	lower, turns, same := 0, 0, 0
	highest := map[string]uint64{}
	lastBy := map[string]map[string]time.Time{}
	holderOf := map[uint64]string{}
	for _, o := range orders {
		if o.Token < highest[o.Replica] {
			lower++
			l.Logf("LOWER %v", o)
		}
		highest[o.Replica] = max(highest[o.Replica], o.Token)
		if h, ok := holderOf[o.Token]; ok && h != o.Holder {
			same++
			l.Logf("SAME %v", o)
		}
		holderOf[o.Token] = o.Holder
		if lastBy[o.Replica] == nil {
			lastBy[o.Replica] = map[string]time.Time{}
		}
		for h, at := range lastBy[o.Replica] {
			if h != o.Holder && o.At.Sub(at) < 3*time.Second && o.At.Sub(thawed[o.Holder]) > 300*time.Millisecond {
				turns++
				l.Logf("TURN %v after %s %v", o, h, o.At.Sub(at))
			}
		}
		lastBy[o.Replica][o.Holder] = o.At
	}
	fmt.Printf("seed %d kinds %v fenced %t: %d orders, lower %d same %d turns %d, behind %d; %s\n", seed, kinds, fenced, len(orders), lower, same, turns, behind, dir)
	return 0
}
