package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// Process is a running process of the system.
type Process struct {
	cmd   *exec.Cmd
	ended chan error
}

// Build builds the daemon without the race detector, which needs memory of its own, and
// returns the path of the program. It waits until no other test plays a crowd, and keeps
// others waiting until the test ends.
func Build(t *testing.T) string {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "currantpulley-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "currantpulleyd")
	c := exec.CommandContext(t.Context(), "go", "build", "-o", file, "currantpulley/cmd/currantpulleyd")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return file
}

// Start starts a program, which is killed after the test. It may open as many descriptors
// as given; 0: as many as the test.
func Start(t *testing.T, env []string, descriptors int, name string, args ...string) *Process {
	t.Helper()
	if descriptors > 0 {
		args = append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors), name}, args...)
		name = "/bin/sh"
	}
	p := &Process{cmd: exec.CommandContext(t.Context(), name, args...), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// Ended reports whether the process has ended, and how.
func (p *Process) Ended() (bool, error) {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true, err
	default:
		return false, nil
	}
}

// PeakMemory returns the largest resident memory that the process has had, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _, ok := strings.Cut(strings.TrimSpace(rest), " kB")
	n, err := strconv.ParseInt(kilobytes, 10, 64)
	if !ok || err != nil {
		return 0, fmt.Errorf("no peak in the status of process %d: %w", p.cmd.Process.Pid, err)
	}
	return n << 10, nil
}

// Descriptors returns the number of the process's open descriptors.
func (p *Process) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all), err
}
