// Package run implements the command line of the daemon. It reads the settings,
// starts the daemon and stops it on a signal or at an operator's request.
package run

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"currantpulley/internal/daemon"
	"currantpulley/internal/eventlog"
	"currantpulley/internal/memory"
	"currantpulley/internal/observe"
	"currantpulley/internal/settings"
	"currantpulley/internal/timeline"
)

// flags holds the command-line flags. Most of them override the settings file.
type flags struct {
	file        string
	vm          string
	dataCentre  string
	site        string
	listen      string
	peerListen  string
	adminListen string
	logLevel    string
	checkOnly   bool
}

// parse parses the command line.
func parse(args []string) (flags, error) {
	var f flags
	app := kingpin.New("currantpulleyd", "Routes language-model requests with long shared prompts.")
	app.Flag("settings", "TOML file with this process's settings.").Short('s').Required().StringVar(&f.file)
	app.Flag("vm", "Name of this VM.").StringVar(&f.vm)
	app.Flag("data-centre", "Data centre of this VM.").StringVar(&f.dataCentre)
	app.Flag("site", "Site whose overlay is used.").StringVar(&f.site)
	app.Flag("listen", "Address of the listener for callers, host:port.").StringVar(&f.listen)
	app.Flag("peer-listen", "Address of the listener for other daemons, host:port.").StringVar(&f.peerListen)
	app.Flag("admin-listen", "Address of the admin listener, host:port.").StringVar(&f.adminListen)
	app.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").StringVar(&f.logLevel)
	app.Flag("check", "Check the settings and exit.").BoolVar(&f.checkOnly)
	_, err := app.Parse(args)
	return f, err
}

// overlay overrides s with the flags that were given.
func (f flags) overlay(s *settings.Settings) {
	for _, o := range []struct {
		flag string
		to   *string
	}{
		{f.vm, &s.VM}, {f.dataCentre, &s.DataCentre}, {f.site, &s.Site}, {f.listen, &s.Listen},
		{f.peerListen, &s.PeerListen}, {f.adminListen, &s.AdminListen}, {f.logLevel, &s.LogLevel},
	} {
		if o.flag != "" {
			*o.to = o.flag
		}
	}
}

// Main runs the daemon with the command-line arguments args until it is stopped. It
// returns an error if the daemon can't start or does not shut down in time.
func Main(args []string) error {
	f, err := parse(args)
	if err != nil {
		return err
	}
	s, err := settings.Load(f.file)
	if err != nil {
		return err
	}
	f.overlay(&s)
	if err := s.Check(); err != nil {
		return fmt.Errorf("%s: %w", f.file, err)
	}
	if f.checkOnly {
		return nil
	}
	return serve(s)
}

// serve runs the daemon until a signal or an operator's drain request.
func serve(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	memory.LimitRuntime(s.Limits.MemoryMB)
	logger := eventlog.NewLogger(os.Stderr, s.VM, s.LogLevel)
	observe.RecordLibraryLog(timeline.NewRecorder(s.VM, timeline.NewClock(nil), logger, 0))
	d, err := daemon.Start(context.Background(), s, daemon.WithLogger(logger))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.DrainRequested():
	}
	return d.Stop(context.Background())
}
