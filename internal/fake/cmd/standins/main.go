// Command standins runs fakes of the platform's services and of upstreams, by
// default on loopback ports. It prints a line "KIND NAME ADDRESS" for each and
// then "ready".
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/fakehttp"
	"currantpulley/internal/fake/fakelog"
	"currantpulley/internal/fake/fakeservice"
	"currantpulley/internal/fake/fakevms"
)

type options struct {
	host        string
	port        int
	engines     int
	services    []string
	models      map[string]string
	pieceTokens int
	cachePieces int
	eventTokens int
	fencing     bool
	loadsAtOnce int
	reportLag   time.Duration
	listLag     time.Duration
}

func parse(args []string) (*options, error) {
	o := &options{models: make(map[string]string)}
	app := kingpin.New("standins", "Fakes of the platform's services and of upstreams, for demonstrations and tests.")
	app.Flag("host", "Address to listen on.").Default("127.0.0.1").StringVar(&o.host)
	app.Flag("port", "Port of the first fake; each further one gets the next port. 0 picks free ports.").Default("0").IntVar(&o.port)
	app.Flag("engines", "Number of engines.").Default("3").IntVar(&o.engines)
	app.Flag("service", "Name of a plain service; may be repeated.").Default("ledger").StringsVar(&o.services)
	app.Flag("model", "MODEL=WEIGHTS served by the engines; may be repeated.").Default("depot=w1").StringMapVar(&o.models)
	app.Flag("piece-tokens", "Tokens per cache piece.").Default("2048").IntVar(&o.pieceTokens)
	app.Flag("cache-pieces", "Capacity of an engine's cache in pieces.").Default("512").IntVar(&o.cachePieces)
	app.Flag("event-tokens", "Output tokens per streamed event.").Default("1").IntVar(&o.eventTokens)
	app.Flag("fencing", "Engines reject orders with an outdated fencing token.").BoolVar(&o.fencing)
	app.Flag("loads-at-once", "Concurrent weight loads at full speed.").Default("2").IntVar(&o.loadsAtOnce)
	app.Flag("report-lag", "Lag of load reports.").Default("300ms").DurationVar(&o.reportLag)
	app.Flag("list-lag", "Lag of the VM list.").Default("500ms").DurationVar(&o.listLag)
	_, err := app.Parse(args)
	return o, err
}

// starter starts servers, each on the next port.
type starter struct {
	options *options
	started int
}

func (s *starter) serve(kind, name string, handler http.Handler) error {
	port := s.options.port
	if port != 0 {
		port += s.started
	}
	s.started++
	_, address, err := fakehttp.Serve(net.JoinHostPort(s.options.host, strconv.Itoa(port)), handler)
	if err != nil {
		return fmt.Errorf("serve %s %s: %w", kind, name, err)
	}
	fmt.Println(kind, name, address)
	return nil
}

func (s *starter) startAll() error {
	o := s.options
	if err := s.serve("log", "log", fakelog.New()); err != nil {
		return err
	}
	if err := s.serve("vms", "vms", fakevms.New(o.listLag)); err != nil {
		return err
	}
	store := &fakeengine.WeightStore{Limit: o.loadsAtOnce}
	for i := 1; i <= o.engines; i++ {
		name := fmt.Sprintf("engine-%d", i)
		engine := fakeengine.New(fakeengine.Options{
			Name: name, Weights: o.models, PieceTokens: o.pieceTokens, CachePieces: o.cachePieces,
			EventTokens: o.eventTokens, ChecksFencing: o.fencing, ReportLag: o.reportLag, Store: store,
		})
		if err := s.serve("engine", name, engine); err != nil {
			return err
		}
	}
	for _, name := range o.services {
		if err := s.serve("service", name, fakeservice.New(name)); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	o, err := parse(os.Args[1:])
	if err == nil {
		err = (&starter{options: o}).startAll()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
	fmt.Println("ready")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
