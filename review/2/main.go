//go:build review

// Command 2: a machine that the store turned away gets the lease on orders back after
// another one held it, and replicas check fencing tokens. Are new weights rolled out?
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"currantpulley/review/lab"
)

const (
	watched = 20 * time.Second       // 2.5 x versionMs
	period  = 100 * time.Millisecond // between two requests
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New(lab.TrayReturns)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer l.Close()
	h, err := lab.NewHandover(l)
	if err == nil {
		err = h.Play()
	}
	if err != nil {
		fmt.Println(err)
		return 2
	}
	l.PutVersion(4)
	named := time.Now()
	sent, served := 0, 0 // later than versionMs
	for n := 0; time.Since(named) < watched; n++ {
		late := time.Since(named) > lab.TrayReturns.Version
		status, _ := l.Call(h.First, "talk", fmt.Sprintf("talk-%d", n), "key")
		l.Logf("%s answers %d to talk-%d", h.First.Name, status, n)
		if late {
			sent++
		}
		if late && status == http.StatusOK {
			served++
		}
		time.Sleep(period)
	}
	behind, all := h.Behind(4)
	l.Logf("%d of %d engines have older weights %v after the new ones were named", behind, all, watched)
	fmt.Printf("VERSION: %d of %d engines have older weights %v after the new ones were named; of %d requests sent later than %v after it %d were served\n",
		behind, all, watched, sent, lab.TrayReturns.Version, served)
	if behind > 1 && 10*behind > all {
		return 1
	}
	return 0
}
