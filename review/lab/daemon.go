//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the settings that are the same at both sites.
const (
	GraceS   = 8
	RevokeMS = 5000
	LeaseMS  = 3000
	Contact  = 3 * time.Second // contactMs
)

// Site has the figures in which the sites differ.
type Site struct {
	Fenced     bool // fencingEnforced
	MemoryMB   int
	RetryExtra int
	Version    time.Duration // versionMs
	Load       time.Duration // of new weights
}

// The sites that the cases name.
var (
	TrayReturns = Site{Fenced: true, MemoryMB: 120, RetryExtra: 135, Version: 8 * time.Second, Load: 570 * time.Millisecond}
	TkhUb       = Site{Fenced: false, MemoryMB: 206, RetryExtra: 129, Version: 12 * time.Second, Load: 1100 * time.Millisecond}
)

// Lab starts and ends everything of a case, and writes its record.
type Lab struct {
	Trouble bool // the case has its disruption
	Store   *Store
	Daemons []*Daemon
	site    Site
	began   time.Time
	dir     string // temporary
	network string // first three numbers of the daemons' addresses

	mu     sync.Mutex
	record *os.File
}

// New returns a Lab of a site, which writes the record to the file that the first
// argument of the program names.
func New(site Site) (*Lab, error) {
	if len(os.Args) != 2 {
		return nil, fmt.Errorf("usage: %s RECORD", os.Args[0])
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", site: site, began: time.Now()}
	var err error
	if l.record, err = os.Create(os.Args[1]); err != nil {
		return nil, err
	}
	if l.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if l.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	l.Store = NewStore(l.Logf)
	l.Logf("trouble %t", l.Trouble)
	return l, nil
}

// freeNetwork returns loopback addresses on which nobody listens.
func freeNetwork() (string, error) {
	for n := range 100 {
		network := fmt.Sprintf("127.%d.%d", 130+(os.Getpid()+n)>>8&63, (os.Getpid()+n)&255)
		l, err := net.Listen("tcp", network+".2:9464")
		if err == nil {
			return network, l.Close()
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// Logf writes a line to the record.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// Now returns the time since the start of the case.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// Close ends all daemons.
func (l *Lab) Close() {
	for _, d := range l.Daemons {
		d.Signal(syscall.SIGCONT)
		d.Signal(syscall.SIGKILL)
		d.Wait(2 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	_ = l.record.Close()
}

// Daemon is a machine with a daemon.
type Daemon struct {
	Name  string
	Front string
	Ready string
	lab   *Lab
	file  string // settings
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// AddDaemon adds a machine, on which Start starts the daemon.
func (l *Lab) AddDaemon() (*Daemon, error) {
	n := len(l.Daemons)
	store, err := l.Store.Listen(n)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("%s.%d", l.network, n+2)
	d := &Daemon{Name: fmt.Sprintf("front-%d", n), Front: ip + ":8782", Ready: ip + ":8789", lab: l}
	d.file = filepath.Join(l.dir, d.Name+".toml")
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{nodeName}}", d.Name, "{{zone}}", "a", "{{ip}}", ip, "{{listen.front}}", d.Front, "{{listen.control}}", ip+":8783",
		"{{listen.ready}}", d.Ready, "{{provider.address}}", store, "{{limits.memoryMb}}", fmt.Sprint(l.site.MemoryMB), "{{bounds.revokeMs}}", fmt.Sprint(RevokeMS),
		"{{bounds.graceS}}", fmt.Sprint(GraceS), "{{bounds.leaseMs}}", fmt.Sprint(LeaseMS), "{{bounds.fencingEnforced|json}}", fmt.Sprint(l.site.Fenced),
		"{{bounds.versionMs}}", fmt.Sprint(l.site.Version.Milliseconds()), "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetExtra}}", fmt.Sprint(l.site.RetryExtra), "{{bounds.retryWindowS}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has unknown fields: %s", text)
	}
	l.Daemons = append(l.Daemons, d)
	return d, os.WriteFile(d.file, []byte(text), 0o600)
}

// Start starts the daemon with the command of the deploy file.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.lab.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/currantpulleyd", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.lab.dir, "CURRANTPULLEY_BOOT=" + d.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	d.lab.Logf("%s started", d.Name)
	return nil
}

// Signal sends a signal to the daemon.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Signal(s)
		d.lab.Logf("%s gets signal %v", d.Name, s)
	}
}

// Wait waits until the daemon has ended, at most for some time, and reports whether it
// has.
func (d *Daemon) Wait(most time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		d.lab.Logf("%s has ended", d.Name)
		return true
	case <-time.After(most):
		return false
	}
}

// AwaitReady waits until the daemon says that it is ready.
func (d *Daemon) AwaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// isReady asks the daemon whether it is ready.
func (d *Daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + d.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// Host is the host of all routes.
const Host = "lab.example"

// Config returns a version of the configuration with a plain service and one of
// engines.
func Config(version int, tenants ...Tenant) []byte {
	route := func(name, kind, service string, streams bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 4000, "targetLatencyMs": 600,
			"maxAttempts": 1, "priority": 1, "public": false, "sessionAffinity": streams, "resumable": false,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("once", "unsafe", "app", false), route("safe", "safe", "app", false), route("talk", "streaming", "llm", true)},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 500},
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 500, "engine": map[string]any{
				"slots": 32, "kvCapacityTokens": 100000, "kvTokenBytes": 1000, "models": []any{map[string]any{"name": Model}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants": tenants,
	})
	return data
}

// PutConfig writes the configuration as the operator does.
func (l *Lab) PutConfig(version int, tenants ...Tenant) bool {
	ok := l.Store.Put("keyed.op", "config", Config(version, tenants...))
	l.Logf("operator: configuration %d %v, acknowledged %t", version, tenants, ok)
	return ok
}

// PutVersion names new weights.
func (l *Lab) PutVersion(version int) bool {
	data, _ := json.Marshal(map[string]any{"model": Model, "version": version})
	ok := l.Store.Put("keyed.op", "version/"+Model, data)
	l.Logf("operator: weights %d named, acknowledged %t", version, ok)
	return ok
}

// Call sends a request to a daemon on a new connection and returns the status, 0 without
// an answer, and the time after which to come back.
func (l *Lab) Call(d *Daemon, route, attempt, key string) (status int, retryAfter time.Duration) {
	t := &http.Transport{DisableKeepAlives: true}
	return l.CallOver(t, d, route, attempt, key)
}

// CallOver is Call on the connection that t keeps.
func (l *Lab) CallOver(t *http.Transport, d *Daemon, route, attempt, key string) (status int, retryAfter time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Front+"/"+route+"/x", strings.NewReader("work "+attempt))
	if err != nil {
		return 0, 0
	}
	req.Host = Host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "4000")
	req.Header.Set("X-Api-Key", key)
	if route == "talk" {
		req.Header.Set("X-Model", Model)
		req.Header.Set("X-Token-Usage", "100,3")
		req.Header.Set("X-Prompt-Prefix", "ab12:50,"+attempt+":50")
	}
	client := http.Client{Timeout: 4 * time.Second, Transport: t}
	res, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Balancer sends new connections to daemons as PROTOCOL.md says of the platform: it asks
// each daemon once a second whether it is ready. Two misses take it out, one 200 brings
// it back. If fewer than half are in, all are used.
type Balancer struct {
	mu      sync.Mutex
	daemons []*Daemon
	misses  map[*Daemon]int
}

// misses of a daemon that was never ready
const outOfRotation = 2

// NewBalancer starts to ask the daemons. report is called after each question.
func NewBalancer(daemons []*Daemon, report func(d *Daemon, ready bool)) *Balancer {
	b := &Balancer{daemons: daemons, misses: make(map[*Daemon]int)}
	for _, d := range daemons {
		b.misses[d] = outOfRotation
		go func() {
			for {
				ready := d.isReady()
				b.mu.Lock()
				b.misses[d]++
				if ready {
					b.misses[d] = 0
				}
				b.mu.Unlock()
				report(d, ready)
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// Pick returns a daemon for a new connection.
func (b *Balancer) Pick() *Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*Daemon
	for _, d := range b.daemons {
		if b.misses[d] < outOfRotation {
			in = append(in, d)
		}
	}
	if 2*len(in) < len(b.daemons) {
		in = b.daemons
	}
	return in[rand.IntN(len(in))]
}
