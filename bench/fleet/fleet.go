package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/backing"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/fakehttp"
	"currantpulley/internal/fake/fakelog"
	"currantpulley/internal/fake/fakevms"
)

const (
	engines      = 4
	dataCentres  = 3
	basePort     = 21000
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	listLag      = 500 * time.Millisecond
)

// vm is one VM, on which a daemon runs as a process.
type vm struct {
	name         string
	settingsFile string // path of the settings of the daemon
	admin        string // URL of the admin listener
	cmd          *exec.Cmd
	log          *os.File
}

// fleet holds the stand-ins and the daemons.
type fleet struct {
	dir     string // of settings and logs; removed by stop
	binary  string
	log     *fakelog.Log
	logURL  string
	vmsURL  string
	engines []string // addresses
	vms     []*vm
	client  *http.Client
}

// startFleet starts the stand-ins and the daemons and waits until all daemons see
// each other.
func startFleet(ctx context.Context, f *flags) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	fl := &fleet{dir: dir, binary: f.binary, log: fakelog.New(), client: &http.Client{Timeout: time.Second}}
	if err := fl.startStandIns(f); err != nil {
		return nil, err
	}
	for i := range f.daemons {
		v, err := fl.writeSettings(i)
		if err != nil {
			return nil, err
		}
		fl.vms = append(fl.vms, v)
		if err := fl.start(v); err != nil {
			fl.stop()
			return nil, err
		}
	}
	return fl, fl.awaitMembers(ctx)
}

// startStandIns serves the log, the VM list and the engines.
func (fl *fleet) startStandIns(f *flags) error {
	fl.log.SetFaults(fakelog.Faults{AppendDelayMS: int(f.append.Milliseconds())})
	list := fakevms.New(listLag)
	var vms []backing.ListedVM
	for i := range f.daemons {
		vms = append(vms, backing.ListedVM{Name: vmName(i), PeerAddress: peerAddress(i), DataCentre: dataCentre(i)})
	}
	list.Set(vms)
	_, logAddress, err := fakehttp.Serve("127.0.0.1:0", fl.log)
	if err != nil {
		return err
	}
	_, listAddress, err := fakehttp.Serve("127.0.0.1:0", list)
	if err != nil {
		return err
	}
	fl.logURL, fl.vmsURL = "http://"+logAddress, "http://"+listAddress
	for i := range engines {
		e := fakeengine.New(fakeengine.Options{Name: fmt.Sprintf("engine-%d", i), Weights: map[string]string{"m": "w1"}})
		_, address, err := fakehttp.Serve("127.0.0.1:0", e)
		if err != nil {
			return err
		}
		fl.engines = append(fl.engines, address)
	}
	return nil
}

func vmName(i int) string      { return fmt.Sprintf("vm-%02d", i) }
func dataCentre(i int) string  { return fmt.Sprintf("dc-%d", i%dataCentres) }
func peerAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", basePort+3*i) }

// writeSettings writes the settings file of daemon i.
func (fl *fleet) writeSettings(i int) (*vm, error) {
	v := &vm{name: vmName(i), admin: fmt.Sprintf("http://127.0.0.1:%d", basePort+3*i+1)}
	v.settingsFile = filepath.Join(fl.dir, v.name+".toml")
	text := fmt.Sprintf(`vm = %q
data_centre = %q
site = "s"
listen = "127.0.0.1:%d"
peer_listen = %q
admin_listen = "127.0.0.1:%d"
log_level = "warn"
[platform]
log = %q
vm_list = %q
`, v.name, dataCentre(i), basePort+3*i+2, peerAddress(i), basePort+3*i+1, fl.logURL, fl.vmsURL)
	return v, os.WriteFile(v.settingsFile, []byte(text), 0o600)
}

// start starts a daemon, which logs to a file next to its settings.
func (fl *fleet) start(v *vm) error {
	var err error
	if v.log, err = os.OpenFile(v.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command(fl.binary, "--settings", v.settingsFile) //nolint:gosec // the path is given by the operator
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	return v.cmd.Start()
}

// kill kills a daemon with SIGKILL.
func (fl *fleet) kill(v *vm) {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGKILL)
	_ = v.cmd.Wait()
	_ = v.log.Close()
	v.cmd = nil
}

// setFrozen suspends the process of a daemon or resumes it.
func (v *vm) setFrozen(frozen bool) {
	sig := syscall.SIGCONT
	if frozen {
		sig = syscall.SIGSTOP
	}
	_ = v.cmd.Process.Signal(sig)
}

// stop kills all daemons and removes their files.
func (fl *fleet) stop() {
	for _, v := range fl.vms {
		fl.kill(v)
	}
	_ = os.RemoveAll(fl.dir)
}

// status requests the status of one daemon.
func (fl *fleet) status(ctx context.Context, v *vm) (*admin.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, v.admin+admin.PathStatus, http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := fl.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var b bytes.Buffer
	if _, err := b.ReadFrom(res.Body); err != nil {
		return nil, err
	}
	var s admin.Status
	return &s, json.Unmarshal(b.Bytes(), &s)
}

// awaitMembers waits until every daemon sees all VMs as alive.
func (fl *fleet) awaitMembers(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range fl.vms {
		for {
			s, err := fl.status(ctx, v)
			if err == nil && aliveCount(s) == len(fl.vms) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not see all %d VMs alive: %w", v.name, len(fl.vms), err)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// aliveCount returns the number of VMs that a daemon sees as alive.
func aliveCount(s *admin.Status) int {
	n := 0
	for _, vm := range s.VMs {
		if vm.State == "alive" {
			n++
		}
	}
	return n
}
