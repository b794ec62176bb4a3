// Package config parses, merges and validates the system's configuration: one
// base and one overlay per site. A parsed configuration is immutable.
package config

import "time"

// Kind says whether an upstream is a model engine or a plain service.
type Kind string

// Kinds of upstreams.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Duration is a time.Duration written as text in TOML, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the configuration of one site: the base with the site's overlay
// applied. Maps are keyed by the item's name, which is also in its Name field.
type Config struct {
	Schema      int                   `toml:"schema"`
	Site        string                `toml:"site"`
	DataCentres []string              `toml:"data_centres"`
	Models      map[string]*Model     `toml:"models"`
	Upstreams   map[string]*Upstream  `toml:"upstreams"`
	Routes      map[string]*Route     `toml:"routes"`
	Workspaces  map[string]*Workspace `toml:"workspaces"`
	Caller      CallerLimits          `toml:"caller"`
	Placement   Placement             `toml:"placement"`
	Admission   Admission             `toml:"admission"`
	Retry       Retry                 `toml:"retry"`
	Orders      Orders                `toml:"orders"`
	Calls       Calls                 `toml:"calls"`
	Publish     Publish               `toml:"publish"`
}

// Model is a language model and the weights version that engines must serve.
type Model struct {
	Name        string   `toml:"-"`
	Weights     string   `toml:"weights"`
	Adapters    []string `toml:"adapters"`
	PieceTokens int      `toml:"piece_tokens"` // tokens per cache piece
}

// Upstream is a model engine or one replica of a plain service.
type Upstream struct {
	Name          string   `toml:"-"`
	Kind          Kind     `toml:"kind"`
	Address       string   `toml:"address"` // host:port
	DataCentre    string   `toml:"data_centre"`
	Models        []string `toml:"models"`  // engines only
	Service       string   `toml:"service"` // services only
	ChecksFencing bool     `toml:"checks_fencing"`
	Leaving       bool     `toml:"leaving"` // gets no new requests
	Group         string   `toml:"group"`   // orders of a group are issued by one lease holder
	Role          string   `toml:"role"`    // engines: "mixed", "prefill" or "decode"
	Concurrency   int      `toml:"concurrency"`
}

// Route forwards requests below a path prefix to a plain service.
type Route struct {
	Name       string   `toml:"-"`
	Path       string   `toml:"path"` // prefix
	Methods    []string `toml:"methods"`
	Service    string   `toml:"service"`
	Repeatable bool     `toml:"repeatable"` // false: runs at most once and requires an Idempotency-Key
	Timeout    Duration `toml:"timeout"`
}

// Workspace is a customer: its keys, its limits and its fair share.
type Workspace struct {
	Name              string   `toml:"-"`
	KeySHA256         []string `toml:"key_sha256"` // hex SHA-256 of bearer keys
	RequestsPerSecond float64  `toml:"requests_per_second"`
	TokensPerMinute   float64  `toml:"tokens_per_minute"`
	Weight            float64  `toml:"weight"` // relative share of the capacity under overload
	Models            []string `toml:"models"` // empty: all
	Routes            []string `toml:"routes"` // empty: all
}

// CallerLimits limits requests and connections of callers.
type CallerLimits struct {
	MaxBody        Size     `toml:"max_body"`
	MaxHeader      Size     `toml:"max_header"`
	MaxConnections int      `toml:"max_connections"`
	ReadTimeout    Duration `toml:"read_timeout"`  // for the complete request
	WriteTimeout   Duration `toml:"write_timeout"` // without progress
	DeadlineMax    Duration `toml:"deadline_max"`
	Deadline       Duration `toml:"deadline"` // for the first token, if the caller sets none
}

// Placement configures the choice of an engine for a prompt.
type Placement struct {
	Owners        int     `toml:"owners"`     // of a prefix, at first
	OwnersMax     int     `toml:"owners_max"` // of a frequently requested prefix
	EventSampling int     `toml:"sample"`     // one cache event in EventSampling is read
	LoadBound     float64 `toml:"bound"`      // ratio of an owner's load to the mean above which it counts as overloaded
}

// Admission configures queueing at the daemon.
type Admission struct {
	QueueMax    int     `toml:"queue_max"`    // queued requests per daemon
	LongTokens  int     `toml:"long_tokens"`  // uncached prompt tokens plus expected output tokens from which a request is long
	LongShare   float64 `toml:"long_share"`   // largest share of upstreams that serve long requests
	SlowShare   float64 `toml:"slow_share"`   // largest share of upstreams that are marked slow
	WindowStart int     `toml:"window_start"` // initial concurrency window per engine, across all daemons
}

// Retry limits retries and hedged attempts.
type Retry struct {
	Budget      float64  `toml:"budget"`       // retries as a share of requests
	HedgeBudget float64  `toml:"hedge_budget"` // hedged attempts as a share of requests
	AttemptsMax int      `toml:"attempts_max"`
	HedgeAfter  Duration `toml:"hedge_after"` // shortest delay before a hedged attempt
}

// Orders configures the orders to upstreams.
type Orders struct {
	ConcurrentLoads int      `toml:"loads_at_once"` // concurrent weight loads; from the weight store's limit
	KeepShare       float64  `toml:"keep_share"`    // share of a model's engines that keep serving while others load
	Lease           Duration `toml:"lease"`
	Delivery        Duration `toml:"delivery"` // longest time an order may be in transit
}

// Calls configures calls that run at most once.
type Calls struct {
	Streams int      `toml:"streams"` // log streams that intents are partitioned over
	Horizon Duration `toml:"horizon"` // time for which an idempotency key is remembered
	Wait    Duration `toml:"wait"`    // time for which a repeated call waits for the first one
}

// Publish configures how configuration versions are published.
type Publish struct {
	AckTimeout Duration `toml:"ack_timeout"` // a VM that does not answer for this long counts as refusing the candidate
	ChangeMax  float64  `toml:"change_max"`  // largest share of items one version may remove or change
	Takeover   Duration `toml:"takeover"`    // delay before the next VM in rank takes over an undecided candidate
	Detach     Duration `toml:"detach"`      // time without the log and without enough peers after which a daemon stops admitting requests
	Reappend   Duration `toml:"reappend"`    // age at which the version in force is appended again; must be well below the log's retention
}
