//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// contactTime is contactMs of the small sites.
const contactTime = 3 * time.Second

// machine is one front machine with its daemon, a process of its own.
type machine struct {
	name, ip, front, ready, control string
	settings, log                   string

	mu        sync.Mutex
	process   *exec.Cmd
	startedAt time.Time // of the process
}

var (
	tempDir  string
	machines []*machine
)

// cleanup ends all daemons and removes the temporary folder.
func cleanup() {
	for _, m := range machines {
		m.kill()
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startMachines starts n daemons, in zones a, b and c by turns, with the deploy file's
// template filled in with the figures of a small site.
func startMachines(n int, storeAddress string) {
	var err error
	tempDir, err = os.MkdirTemp("", "review-2-")
	must(err)
	net2, net3 := 64+rand.IntN(128), 1+rand.IntN(250)
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)
		m := &machine{
			name: fmt.Sprintf("front-%d", i+1), ip: ip, front: freePort(ip), ready: freePort(ip), control: freePort(ip),
		}
		m.settings, m.log = filepath.Join(tempDir, m.name+".toml"), filepath.Join(tempDir, m.name+".log")
		must(os.WriteFile(m.settings, []byte(m.fillIn(storeAddress, string(rune('a'+i%3)))), 0o600))
		machines = append(machines, m)
		m.start()
	}
}

// fillIn fills in deploy/settings.toml.
func (m *machine) fillIn(storeAddress, zone string) string {
	template, err := os.ReadFile("deploy/settings.toml")
	must(err)
	text := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{zone}}", zone, "{{listen.front}}", m.front, "{{listen.control}}", m.control,
		"{{listen.ready}}", m.ready, "{{ip}}", m.ip, "{{provider.address}}", storeAddress, "{{limits.memoryMb}}", "206",
		"{{bounds.revokeMs}}", "5000", "{{bounds.graceS}}", "8", "{{bounds.leaseMs}}", "3000", "{{bounds.fencingEnforced|json}}", "true",
		"{{bounds.versionMs}}", "8000", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetExtra}}", "113", "{{bounds.retryWindowS}}", "10",
	).Replace(string(template))
	if i := strings.Index(text, "{{#bounds.quotaWindowS}}"); i >= 0 { // these sites have no quotas
		end := "{{/bounds.quotaWindowS}}"
		text = text[:i] + text[strings.Index(text, end)+len(end):]
	}
	if strings.Contains(text, "{{") {
		must(fmt.Errorf("the template has placeholders that this program doesn't know: %s", text))
	}
	return text
}

// start starts the daemon as the deploy file says.
func (m *machine) start() {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	c := exec.Command("target/currantpulleyd", "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTPULLEY_BOOT=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.Start())
	m.mu.Lock()
	m.process, m.startedAt = c, time.Now()
	m.mu.Unlock()
}

// kill kills the daemon with SIGKILL and waits until it has ended.
func (m *machine) kill() {
	m.mu.Lock()
	c := m.process
	m.process = nil
	m.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// signal sends a signal to the daemon.
func (m *machine) signal(s os.Signal) { _ = m.process.Process.Signal(s) }

// inTouch reports whether the daemon has run for contactMs.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && at.Sub(m.startedAt) >= contactTime
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/readyz", nil)
	res, err := probes.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probes = &http.Transport{DisableKeepAlives: true}

// awaitReady waits until all daemons say that they are ready.
func awaitReady(most time.Duration) {
	end := time.Now().Add(most)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				must(fmt.Errorf("%s isn't ready after %v", m.name, most))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// killAll kills all daemons at the same moment and starts them again after pause.
func killAll(pause time.Duration) {
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Add(1)
		go func() { defer wg.Done(); m.kill() }()
	}
	wg.Wait()
	time.Sleep(pause)
	for _, m := range machines {
		m.start()
	}
}
