package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// probePause is the time between two probes of one route at one daemon.
const probePause = 100 * time.Millisecond

// awaitRecovery sends probes to each daemon on each route until one is served, or
// until the time to recover is over, and records the times.
func (s *soak) awaitRecovery(ctx context.Context) {
	began := time.Now()
	var all sync.WaitGroup
	for i, d := range s.plan.Daemons {
		for _, route := range site.Routes {
			all.Go(func() {
				after := time.Duration(-1)
				for n := 0; after < 0 && ctx.Err() == nil && time.Since(began) < site.Recovery; n++ {
					if probe(ctx, d, route, fmt.Sprintf("%s%d-%s-%d", check.ProbePrefix, i, route.Name, n)) {
						after = time.Since(began)
					}
					time.Sleep(probePause)
				}
				s.record(record.Line{Recovery: &record.Recovery{Daemon: d, Route: route.Name, After: after}})
			})
		}
	}
	all.Wait()
}

// probe reports whether a daemon serves a request of a route.
func probe(ctx context.Context, daemon string, route site.Route, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, route.Timeout)
	defer cancel()
	path := route.Prefix + "x"
	if route.Stream() {
		path = route.Prefix + "3" // events
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, strings.NewReader("probe"))
	if err != nil {
		return false
	}
	req.Host = site.Host
	req.Close = true
	for name, value := range map[string]string{
		names.AttemptID: id, names.Deadline: fmt.Sprint(route.Timeout.Milliseconds()), names.Model: site.Model,
		names.TokenUsage: "20,3", names.PromptParts: "ff:20",
	} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
