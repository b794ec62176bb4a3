// Package settings reads the settings of one daemon from a TOML file: its
// addresses, its data centre, the platform's services and its TLS files. The
// configuration that all daemons share is not part of them: it is read from
// the platform's log or store.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"currantpulley/internal/config"
	"currantpulley/internal/crossing"
)

// Settings are the settings of one daemon.
type Settings struct {
	VM          string `toml:"vm"`
	DataCentre  string `toml:"data_centre"`
	Site        string `toml:"site"`
	Listen      string `toml:"listen"`       // for callers, host:port
	PeerListen  string `toml:"peer_listen"`  // for other daemons, host:port
	PeerAddress string `toml:"peer_address"` // announced to other daemons; empty: PeerListen
	AdminListen string `toml:"admin_listen"` // for operators and the load balancer's probes, host:port
	// MetricsListen serves only the metrics, host:port; empty: they are served
	// on the admin listener, if there is one.
	MetricsListen string   `toml:"metrics_listen"`
	Pprof         bool     `toml:"pprof"`
	LogLevel      string   `toml:"log_level"`
	Platform      Platform `toml:"platform"`
	TLS           TLS      `toml:"tls"`
	Drain         Drain    `toml:"drain"`
	Limits        Limits   `toml:"limits"`
	Bounds        Bounds   `toml:"bounds"`
	Crossing      Crossing `toml:"crossing"`
	// UsePaces lets requests go by the pace of each upstream, which all daemons learn together.
	UsePaces bool `toml:"use_paces"`
}

// Crossing says what it costs to send a request to an upstream in another data centre, in
// time that its caller might as well wait. Without any of it the cost is small and fixed.
type Crossing struct {
	RoundTrip      config.Duration `toml:"round_trip"`        // between two data centres
	WaitPerMB      config.Duration `toml:"wait_per_mb"`       // for each megabyte of requests and answers
	WaitPerCacheGB config.Duration `toml:"wait_per_cache_gb"` // for each gigabyte of cache entries that an engine fetches
}

// Prices returns the prices of a crossing.
func (c Crossing) Prices() crossing.Prices {
	return crossing.Prices{RoundTrip: c.RoundTrip.Std(), PerMB: c.WaitPerMB.Std(), PerCacheGB: c.WaitPerCacheGB.Std()}
}

// maxCrossing bounds each price of a crossing: no caller waits for longer.
const maxCrossing = config.Duration(10 * time.Minute)

// checkCrossing reports prices that can't be.
func (s *Settings) checkCrossing(report func(key, format string, args ...any)) {
	for key, d := range map[string]config.Duration{
		"crossing.round_trip": s.Crossing.RoundTrip, "crossing.wait_per_mb": s.Crossing.WaitPerMB,
		"crossing.wait_per_cache_gb": s.Crossing.WaitPerCacheGB,
	} {
		if d < 0 || d > maxCrossing {
			report(key, "%v is not between 0 and %v", d.Std(), maxCrossing.Std())
		}
	}
}

// Limits are the resource limits of the process. 0 means no limit.
type Limits struct {
	MemoryMB int `toml:"memory_mb"`
}

// Bounds are the guarantees that an installation gives its users. They are
// required if configuration and upstreams are read from a platform's store.
type Bounds struct {
	KeyRevocation config.Duration `toml:"key_revocation"` // from the revocation of a key until every daemon refuses it
	StopGrace     config.Duration `toml:"stop_grace"`     // from the stop signal until the process is killed
	Lease         config.Duration `toml:"lease"`          // duration of the lease under which a VM issues orders to upstreams
	Fenced        bool            `toml:"fenced"`         // engines reject orders with an older fencing token
	Weights       config.Duration `toml:"weights"`        // from the choice of a weights version until no request starts on an older one
	RetryRatio    float64         `toml:"retry_ratio"`    // retries per request, over all daemons
	RetryExtra    float64         `toml:"retry_extra"`    // retries in a window beyond the ratio, over all daemons
	RetryWindow   config.Duration `toml:"retry_window"`
	QuotaWindow   config.Duration `toml:"quota_window"`  // length of time to which the next two apply; 0: nothing is tolerated
	QuotaOverage  float64         `toml:"quota_overage"` // share of a workspace's quota that may be taken beyond it
	QuotaSlack    float64         `toml:"quota_slack"`   // units of a quota that may be taken beyond that
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log    string `toml:"log"`     // URL
	VMList string `toml:"vm_list"` // URL
	Store  string `toml:"store"`   // host:port; used instead of log and vm_list
	Seeds  []Seed `toml:"seeds"`   // other daemons, used if the VM list is unavailable
}

// Seed is another daemon that is known in advance.
type Seed struct {
	VM          string `toml:"vm"`
	PeerAddress string `toml:"peer_address"`
	DataCentre  string `toml:"data_centre"`
}

// TLS holds the names of PEM files. Empty names disable TLS.
type TLS struct {
	Cert     string `toml:"cert"` // of the listener for callers
	Key      string `toml:"key"`
	PeerCert string `toml:"peer_cert"` // of servers and clients between daemons
	PeerKey  string `toml:"peer_key"`
	PeerCA   string `toml:"peer_ca"`
}

// Drain configures a graceful shutdown.
type Drain struct {
	Delay   config.Duration `toml:"delay"`   // time for which requests are still admitted, until the load balancer has noticed
	Timeout config.Duration `toml:"timeout"` // for requests in progress
}

// Defaults returns the settings that apply if the file does not set them.
func Defaults() Settings {
	return Settings{
		Listen:      "127.0.0.1:8080",
		PeerListen:  "127.0.0.1:7080",
		AdminListen: "127.0.0.1:9080",
		LogLevel:    "info",
		Drain:       Drain{Delay: config.Duration(2 * time.Second), Timeout: config.Duration(15 * time.Minute)},
	}
}

// Load reads the settings from a file and applies the defaults. Errors about
// unknown keys and wrong types contain the file, the line and the key. Load does
// not call Check.
func Load(name string) (Settings, error) {
	s := Defaults()
	data, err := os.ReadFile(name)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	return s, decode(name, data, &s)
}

func decode(name string, data []byte, s *Settings) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var all []error
		for _, e := range unknownKeys.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %q", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return fmt.Errorf("%s:%d: key %q: %w", name, line, strings.Join(decodeErr.Key(), "."), decodeErr)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Check returns an error for every setting that is missing or malformed.
func (s *Settings) Check() error {
	var all []error
	report := func(key, format string, args ...any) {
		all = append(all, fmt.Errorf("setting %q: %w", key, fmt.Errorf(format, args...)))
	}
	for key, v := range map[string]string{"vm": s.VM, "data_centre": s.DataCentre, "site": s.Site} {
		if v == "" {
			report(key, "missing, expected a name")
		}
	}
	addresses := map[string]string{"listen": s.Listen, "peer_listen": s.PeerListen, "admin_listen": s.AdminListen}
	for key, v := range map[string]string{"metrics_listen": s.MetricsListen, "platform.store": s.Platform.Store} {
		if v != "" {
			addresses[key] = v
		}
	}
	for key, v := range addresses {
		if _, _, err := net.SplitHostPort(v); err != nil {
			report(key, "%q is not host:port", v)
		}
	}
	for key, v := range map[string]string{"platform.log": s.Platform.Log, "platform.vm_list": s.Platform.VMList} {
		if u, err := url.Parse(v); v != "" && (err != nil || u.Host == "") {
			report(key, "%q is not a URL such as http://127.0.0.1:7000", v)
		}
	}
	if s.Platform.Store != "" {
		s.checkBounds(report)
	}
	s.checkCrossing(report)
	if (s.TLS.Cert == "") != (s.TLS.Key == "") {
		report("tls.cert", "cert and key must be set together")
	}
	peer := [3]string{s.TLS.PeerCert, s.TLS.PeerKey, s.TLS.PeerCA}
	if peer != [3]string{} && (peer[0] == "" || peer[1] == "" || peer[2] == "") {
		report("tls.peer_cert", "peer_cert, peer_key and peer_ca must be set together")
	}
	if s.Drain.Delay < 0 || s.Drain.Timeout <= 0 {
		report("drain", "delay must not be negative and timeout must be positive")
	}
	return errors.Join(all...)
}

// checkBounds reports bounds that are missing or negative.
func (s *Settings) checkBounds(report func(key, format string, args ...any)) {
	b := s.Bounds
	for key, d := range map[string]config.Duration{
		"bounds.key_revocation": b.KeyRevocation, "bounds.stop_grace": b.StopGrace, "bounds.lease": b.Lease,
		"bounds.weights": b.Weights, "bounds.retry_window": b.RetryWindow,
	} {
		if d <= 0 {
			report(key, "missing, expected a duration such as \"5s\"")
		}
	}
	if b.RetryRatio < 0 || b.RetryExtra < 0 {
		report("bounds.retry_ratio", "retry_ratio and retry_extra must not be negative")
	}
	if !(b.QuotaWindow >= 0 && b.QuotaOverage >= 0 && b.QuotaSlack >= 0) { // false for NaN, too
		report("bounds.quota_window", "quota_window, quota_overage and quota_slack must be numbers of 0 or more")
	}
}
