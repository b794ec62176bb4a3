// Command soak runs daemons, a store, upstreams and callers as separate processes on
// loopback, injects faults from outside that a seed draws, and checks the promises to
// callers from what callers and upstreams recorded. It exits with status 1 if a
// promise was broken.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"currantpulley/bench/soak/caller"
	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/proxy"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/upstream"
)

// Commands. All but commandRun are the processes that it starts.
const (
	commandRun      = "run"
	commandStore    = "store"
	commandUpstream = "upstream"
	commandProxy    = "proxy"
	commandCaller   = "caller"
	commandDaemon   = "daemon"
)

type flags struct {
	command string

	seed     uint64
	duration time.Duration
	daemons  int
	callers  int
	only     []string
	planted  []string
	binary   string
	oldBuild string
	template string
	keep     bool

	plan       string
	number     int
	generation int
	listen     string
	announce   string
	name       string
	until      time.Duration
}

// parse reads the command line.
func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("soak", "Runs daemons under faults and checks the promises to callers.")
	run := app.Command(commandRun, "Run one seed.").Default()
	run.Flag("seed", "Seed of the faults and of the traffic.").Default("1").Uint64Var(&f.seed)
	run.Flag("duration", "Time until the last fault has ended.").Default("20s").DurationVar(&f.duration)
	run.Flag("daemons", "Number of daemons.").Default("5").IntVar(&f.daemons)
	run.Flag("callers", "Number of callers.").Default("32").IntVar(&f.callers)
	run.Flag("only", "Kind of fault to inject; may be repeated. Default: all.").EnumsVar(&f.only, plan.Kinds()...)
	run.Flag("plant", "Rule that the stand-ins break on purpose, to test its check; may be repeated.").EnumsVar(&f.planted, check.Rules...)
	app.Flag("binary", "Path of the daemon's binary; empty: it is built.").StringVar(&f.binary)
	run.Flag("upgrade-from", "Path of an older build's binary: the daemons begin with it and are replaced one after the other.").StringVar(&f.oldBuild)
	app.Flag("template", "Template of the daemons' settings.").Default("deploy/settings.toml").StringVar(&f.template)
	run.Flag("keep", "Keep the records and logs also if no promise was broken.").BoolVar(&f.keep)
	part := func(name, help string) *kingpin.CmdClause {
		c := app.Command(name, help).Hidden()
		c.Flag("plan", "File of the plan.").Required().StringVar(&f.plan)
		c.Flag("name", "Name of the process.").Required().StringVar(&f.name)
		return c
	}
	part(commandStore, "Serve the store.")
	part(commandProxy, "Serve the proxies.")
	up := part(commandUpstream, "Serve one upstream.")
	up.Flag("number", "Number of the upstream.").IntVar(&f.number)
	up.Flag("generation", "Number of earlier starts.").IntVar(&f.generation)
	up.Flag("listen", "Address.").StringVar(&f.listen)
	up.Flag("announce", "Address in its entry.").StringVar(&f.announce)
	call := part(commandCaller, "Play the callers.")
	call.Flag("callers", "Number of callers.").IntVar(&f.callers)
	call.Flag("until", "Time at which they stop, since the start of the soak.").DurationVar(&f.until)
	part(commandDaemon, "Run a daemon that can be partitioned from the upstreams.").Flag("number", "Number of the daemon.").IntVar(&f.number)
	var err error
	f.command, err = app.Parse(args)
	return f, err
}

// errFindings is returned if a promise was broken.
var errFindings = errors.New("promises were broken")

func main() {
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}).With().Timestamp().Logger()
	f, err := parse(os.Args[1:])
	if err != nil {
		log.Error().Err(err).Msg("command line")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = start(ctx, f, log)
	stop()
	if err != nil {
		log.Error().Err(err).Str("command", f.command).Msg("failed")
		os.Exit(1)
	}
}

// start runs the command.
func start(ctx context.Context, f *flags, log zerolog.Logger) error {
	if f.command == commandRun {
		return runSoak(ctx, f, log)
	}
	p, err := plan.Load(f.plan)
	if err != nil {
		return err
	}
	records, err := record.Open(p.Dir, f.name) // the end of the process closes it
	if err != nil {
		return err
	}
	switch f.command {
	case commandStore:
		return runStore(ctx, p)
	case commandDaemon:
		return runDaemon(ctx, p, f.number)
	case commandProxy:
		return proxy.Run(ctx, p, log)
	case commandUpstream:
		return upstream.Run(ctx, upstream.Options{
			Plan: p, Number: f.number, Generation: f.generation, Listen: f.listen, Announce: f.announce, Records: records, Log: log,
		})
	default:
		return caller.Run(ctx, caller.Options{Plan: p, Callers: f.callers, Until: p.Start.Add(f.until), Records: records, Log: log})
	}
}
