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

	mu  sync.Mutex
	run *run // nil: not started yet
}

// run is one run of a program.
type run struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// start starts the program unless it runs. Its output is appended to its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run.running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r := &run{cmd: exec.Command(p.argv[0], p.argv[1:]...), done: make(chan struct{})} //nolint:gosec // programs of this soak
	r.cmd.Env = append(os.Environ(), p.env...)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	p.run = r
	go func() {
		_ = r.cmd.Wait()
		_ = log.Close()
		close(r.done)
	}()
	return nil
}

// useProgram sets the program that is started from now on.
func (p *process) useProgram(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.argv = append([]string{path}, p.argv[1:]...)
}

// current returns the newest run, nil if there was none.
func (p *process) current() *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// signal sends a signal to the program if it runs.
func (p *process) signal(s syscall.Signal) { p.current().signal(s) }

// stop sends a signal, waits until the program has ended and kills it if that takes
// longer than patience.
func (p *process) stop(s syscall.Signal, patience time.Duration) {
	r := p.current()
	r.signal(s)
	r.wait(patience)
	r.signal(syscall.SIGKILL)
	r.wait(time.Second)
}

// running reports whether the run has begun and not ended.
func (r *run) running() bool {
	if r == nil {
		return false
	}
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// endedWith reports whether the run has ended with an exit status.
func (r *run) endedWith(status int) bool {
	return r != nil && !r.running() && r.cmd.ProcessState.ExitCode() == status
}

func (r *run) signal(s syscall.Signal) {
	if r.running() {
		_ = r.cmd.Process.Signal(s) // it may have ended just now
	}
}

// wait waits until the run has ended, at most for some time.
func (r *run) wait(most time.Duration) {
	if r == nil {
		return
	}
	select {
	case <-r.done:
	case <-time.After(most):
	}
}

// memoryMB returns the program's resident memory, 0 if it does not run.
func (p *process) memoryMB() float64 {
	r := p.current()
	if !r.running() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0 // it has ended just now
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
