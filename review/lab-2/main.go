//go:build review

// Command lab-2 runs the cases of the review and writes the record of each to a file. It starts daemons by the command of the
// deploy file, and is their platform, their replicas and their clients.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration is the longest time that a case may take.
const maxDuration = 112 * time.Second

// trouble reports whether the case runs with its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	cases := map[string]func(rec *recorder) (broken bool){
		"wall": runWall, "origins": runOrigins, "poison": runPoison, "odd-entry": runOddEntry, "order": runOrder, "drill": runDrill, "part": runPart,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE FILE")
		os.Exit(2)
	}
	rec := newRecorder(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			must(fmt.Errorf("stopped"))
		case <-time.After(maxDuration):
			must(fmt.Errorf("not done after %v", maxDuration))
		}
	}()
	broken := cases[os.Args[1]](rec)
	cleanup()
	rec.write("verdict", "broken", broken, "trouble", trouble)
	if broken {
		os.Exit(1)
	}
}

// verdict prints what a case found and records it.
func verdict(rec *recorder, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	rec.write("found", "text", text)
}

type object = map[string]any

// limits are those of the small sites.
var limits = object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

func modelService(name string) object {
	return object{"name": name, "healthPath": "/healthz", "maxConnections": 628, "protocol": "h1", "tls": false,
		"engine": object{"slots": 48, "kvCapacityTokens": 117434, "kvTokenBytes": 163840, "linkMbps": 550000.0, "models": []object{{"name": modelName}}}}
}

func plainService(name string) object {
	return object{"name": name, "healthPath": "/healthz", "maxConnections": 208, "protocol": "h1", "tls": false}
}

func streamRoute(service string) object {
	return object{"name": "note", "host": "a.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 400,
		"priority": 0, "service": service, "maxAttempts": 2, "public": false, "sessionAffinity": true, "resumable": true, "gapTargetMs": 300}
}

func plainRoute(name, kind, service string) object {
	return object{"name": name, "host": "a.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 300,
		"priority": 2, "service": service, "maxAttempts": 2, "public": false, "sessionAffinity": false, "resumable": false}
}

func tenant(name, key string, isolated bool) object {
	return object{"name": name, "apiKeys": []string{key}, "priority": 1, "isolated": isolated}
}

// configure writes a configuration and returns the time of its acknowledgement.
func configure(rec *recorder, s *store, version int, routes, services, tenants []object) time.Time {
	data, err := json.Marshal(object{"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants})
	must(err)
	at := s.put("keyed.op", "config", data)
	rec.write("configuration acknowledged", "version", version, "config", json.RawMessage(data))
	return at
}

// nameWeights names the first weights.
func nameWeights(s *store) {
	data, _ := json.Marshal(object{"model": modelName, "version": 1})
	s.put("keyed.op", "version/"+modelName, data)
}
