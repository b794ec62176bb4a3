package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/config"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/fake/certificate"
	"currantpulley/internal/fake/crowd"
	"currantpulley/internal/fake/fakelog"
)

// crowdHost is a loopback address at which only daemons of these tests listen.
const crowdHost = "127.0.97.1"

const (
	crowdHeader = 1 << 20 // bytes
	longPart    = 1 << 20 // bytes
	longParts   = 64      // of a long answer; the kernel's buffers hold some of them
	crowdKey    = "crowd-key"
)

// crowdUpstream reads bodies, and answers at length on the path /stock/long.
func crowdUpstream(t *testing.T) string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "long") {
			for range longParts {
				_, _ = w.Write(bytes.Repeat([]byte("y"), longPart))
			}
		}
	}))
	s.Config.IdleTimeout = time.Second // an idle connection takes a descriptor of the daemon
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// crowdAddress returns a free address of crowdHost.
func crowdAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", crowdHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// crowdDaemon is a daemon process on a machine with little memory, and what a crowd needs
// to call it.
type crowdDaemon struct {
	*crowd.Process
	plan  crowd.Plan
	admin string // address of its admin listener
}

// faulty has the addresses of upstreams at fault; empty: there is none.
type faulty struct {
	service string
	engines []string
}

// startCrowdDaemon starts a daemon process with one plain service, and others. more are
// settings to add.
func startCrowdDaemon(t *testing.T, binary, more string, others faulty) crowdDaemon {
	t.Helper()
	log := httptest.NewServer(fakelog.New())
	t.Cleanup(log.Close)
	listen, admin := crowdAddress(t), crowdAddress(t)
	file := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("vm = \"vm-1\"\ndata_centre = \"d\"\nsite = \"s\"\nlisten = %q\npeer_listen = %q\nadmin_listen = %q\n"+
		"log_level = \"error\"\n[platform]\nlog = %q\n[limits]\nmemory_mb = %d\n",
		listen, crowdAddress(t), admin, log.URL, crowd.MemoryMB) + more
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := crowd.Start(t, nil, 0, binary, "--settings", file)
	publishForCrowd(t, log.URL, others)
	fields := " HTTP/1.1\r\nHost: " + listen + "\r\nAuthorization: Bearer " + crowdKey + "\r\n"
	return crowdDaemon{p, crowd.Plan{
		Callers: crowd.Callers, Address: listen, Body: int64(crowd.BodyMB) << 20, Header: crowdHeader,
		Head: "POST /stock" + fields, Long: "GET /stock/long" + fields,
		Chat: "POST /v1/chat/completions" + fields,
	}, admin}
}

// publishForCrowd publishes a configuration with one plain service, and upstreams at fault.
func publishForCrowd(t *testing.T, logURL string, others faulty) {
	t.Helper()
	base := fmt.Sprintf("schema = 1\n[caller]\nmax_body = \"%dMiB\"\nmax_header = \"%dMiB\"\n"+
		"[workspaces.w]\nkey_sha256 = [\"%x\"]\nrequests_per_second = 100000\n"+
		"[routes.stock]\npath = \"/stock\"\nmethods = [\"GET\", \"POST\"]\nservice = \"ledger\"\nrepeatable = true\n",
		crowd.BodyMB, crowdHeader>>20, sha256.Sum256([]byte(crowdKey)))
	overlay := fmt.Sprintf("schema = 1\nsite = \"s\"\n[upstreams.u]\nkind = \"service\"\naddress = %q\ndata_centre = \"d\"\nservice = \"ledger\"\n",
		crowdUpstream(t))
	if others.service != "" {
		base += "[routes.faulty]\npath = \"/faulty\"\nmethods = [\"POST\"]\nservice = \"faulty\"\nrepeatable = true\ntimeout = \"1500ms\"\n"
		overlay += fmt.Sprintf("[upstreams.f]\nkind = \"service\"\naddress = %q\ndata_centre = \"d\"\nservice = \"faulty\"\n", others.service)
	}
	if len(others.engines) > 0 {
		base += "[models.m]\nweights = \"w1\"\npiece_tokens = 16\n"
	}
	for i, address := range others.engines {
		overlay += fmt.Sprintf("[upstreams.e%d]\nkind = \"engine\"\naddress = %q\ndata_centre = \"d\"\nmodels = [\"m\"]\n", i, address)
	}
	set, err := config.Parse([]config.File{{Name: "base.toml", Data: []byte(base)}, {Name: "s.toml", Data: []byte(overlay)}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s := publish.NewSubmitter(httplog.New(logURL, http.DefaultClient), func(string) {})
	d, err := s.Submit(ctx, publish.Submission{Set: set, Author: "test"})
	if err != nil || d.Result != publish.Committed {
		t.Fatalf("publish: %v %v", d.Outcome, err)
	}
}

// Guards against callers that end a process: their bodies, heads and unread answers
// filled its memory, which was bounded a request only. One daemon got 40 callers with
// bodies of 4 MB, most of them without an end.
func TestCrowdsOfCallersEndNoProcess(t *testing.T) {
	binary := crowd.Build(t)
	for _, kind := range append(slices.Clone(crowd.Kinds), crowd.Messages, crowd.LongModel) {
		t.Run(string(kind), func(t *testing.T) {
			d := startCrowdDaemon(t, binary, "", faulty{})
			d.plan.Kind = kind
			crowd.Check(t, d.Process, d.plan)
		})
	}
}

// Guards against callers over TLS that end a process: the first message of a handshake,
// without its end, wasn't accounted for.
func TestCrowdsOverTLSEndNoProcess(t *testing.T) {
	binary := crowd.Build(t)
	cert, key := certificate.Write(t)
	for _, kind := range []crowd.Kind{crowd.HalfHandshakes, crowd.Length, crowd.TinyChunks} {
		t.Run(string(kind), func(t *testing.T) {
			d := startCrowdDaemon(t, binary, fmt.Sprintf("[tls]\ncert = %q\nkey = %q\n", cert, key), faulty{})
			d.plan.Kind, d.plan.TLS = kind, true
			crowd.Check(t, d.Process, d.plan)
		})
	}
}

// Guards against crowds at the admin listener, whose callers' memory wasn't accounted for.
func TestCrowdsAtTheAdminListenerEndNoProcess(t *testing.T) {
	binary := crowd.Build(t)
	for _, kind := range []crowd.Kind{crowd.Length, crowd.TinyChunks} {
		t.Run(string(kind), func(t *testing.T) {
			d := startCrowdDaemon(t, binary, "", faulty{})
			d.plan.Kind, d.plan.Target = kind, d.admin
			crowd.Check(t, d.Process, d.plan)
		})
	}
}
