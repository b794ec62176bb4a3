// Package site holds the sizes of the two deployments that are benchmarked and the
// parameters of their simulated engines.
package site

import (
	"fmt"
	"time"

	"currantpulley/internal/fake/fakeengine"
)

// PieceTokens is the size of a cache piece in the benchmarks. It is smaller than
// the 2048 tokens of production so that request bodies stay short. The prefill
// rate is scaled down by the same factor, so that a piece takes as long to compute.
const PieceTokens = 64

// Model and Weights are the model that every engine serves and its version.
const (
	Model   = "bench"
	Weights = "w1"
)

const (
	pieceTime   = 20 * time.Millisecond // prefill of one piece: 2048 tokens at 102,400 tokens/s
	cachePieces = 160                   // 3.2 s of prefill
	maxRunning  = 16
	decodeStep  = 8 * time.Millisecond   // per output token
	decodeShare = 400 * time.Microsecond // added per other decoding request
	eventTokens = 16                     // output tokens per streamed event
	reportLag   = 500 * time.Millisecond // of load reports
	eventLag    = time.Second            // of cache events
	eventLoss   = 0.05                   // share of cache events that are lost
)

// Site is a deployment. Its engines and daemons are assigned to its data centres
// in turn.
type Site struct {
	Name        string
	DataCentres []string
	Engines     int
	Daemons     int
}

// Names lists the sites.
var Names = []string{"atlas", "indus"}

// Named returns the site called name, or an error if there is none.
func Named(name string) (Site, error) {
	for _, s := range []Site{
		{"atlas", []string{"cas-1", "cas-2", "cas-3"}, 12, 13},
		{"indus", []string{"lhe-1", "khi-1", "mux-1"}, 18, 16},
	} {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, fmt.Errorf("site %q does not exist, expected one of %v", name, Names)
}

// DataCentre returns the data centre of the i-th engine or daemon.
func (s Site) DataCentre(i int) string { return s.DataCentres[i%len(s.DataCentres)] }

// EngineName returns the name of the i-th engine.
func (s Site) EngineName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// Engine returns the options of the i-th engine.
func (s Site) Engine(i int) fakeengine.Options {
	return fakeengine.Options{
		Name:        s.EngineName(i),
		Weights:     map[string]string{Model: Weights},
		PieceTokens: PieceTokens,
		CachePieces: cachePieces,
		PrefillRate: PieceTokens / pieceTime.Seconds(),
		DecodeStep:  decodeStep,
		DecodeShare: decodeShare,
		MaxRunning:  maxRunning,
		EventTokens: eventTokens,
		ReportLag:   reportLag,
		EventLag:    eventLag,
		EventLoss:   eventLoss,
	}
}

// PooledPieces returns the capacity of all caches together, in pieces.
func (s Site) PooledPieces() int { return s.Engines * cachePieces }

// CachePieces returns the capacity of the cache of one engine, in pieces.
func (s Site) CachePieces() int { return cachePieces }

// PrefillTime returns the time that an engine takes to prefill tokens.
func (s Site) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * pieceTime / PieceTokens
}
