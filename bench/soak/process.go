package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program that the soak started. It can be started again. It is safe
// for concurrent use.
type process struct {
	name string
	dir  string // of its log
	argv []string
	env  []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
}

// start starts the program. Its output is appended to its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...) //nolint:gosec // programs of this soak
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// running reports whether the program has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the program unless it has ended.
func (p *process) signal(s syscall.Signal) {
	if !p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// stop sends a signal, waits until the program has ended and kills it if that takes
// longer than patience.
func (p *process) stop(s syscall.Signal, patience time.Duration) {
	if !p.running() {
		return
	}
	p.signal(s)
	p.wait(patience)
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
}

// wait waits until the program has ended, at most for some time.
func (p *process) wait(most time.Duration) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(most):
	}
}

// memoryMB returns the program's resident memory, 0 if it has ended.
func (p *process) memoryMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
