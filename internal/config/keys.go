package config

import (
	"reflect"
	"time"
)

// Schema is the version of the configuration schema that this program supports.
const Schema = 1

// itemTables lists the tables whose entries are named items.
var itemTables = []string{"models", "upstreams", "routes", "workspaces"}

// itemName is the placeholder for an item's name in the paths of keys.
const itemName = "NAME"

// Key describes one key of the configuration.
type Key struct {
	Path     string   // dotted; NAME is the placeholder for an item's name
	Required bool     // in every item of its table, or at the top level
	Default  any      // of the field's type; nil: the type's zero value
	Min, Max float64  // of numbers, durations in nanoseconds and sizes in bytes; both 0: unbounded
	OneOf    []string // allowed values; empty: any
	Unit     string
	Text     string // explanation for the reference page
}

const (
	day = 24 * time.Hour

	maxConcurrency = 100_000
	maxTokens      = 10_000_000
	maxRate        = 1e9
)

// keys lists all keys with their defaults and ranges, in the order of the
// reference page.
var keys = []Key{
	{Path: "schema", Required: true, Min: Schema, Max: Schema, Text: "Version of the configuration schema; required in the base and in each overlay."},
	{Path: "site", Text: "Name of the overlay's site; required in an overlay, not allowed in the base."},
	{Path: "data_centres", Text: "Names of the site's data centres; if set, each upstream's data centre must be one of them."},

	{Path: "models.NAME.weights", Required: true, Text: "Weights version that engines must serve."},
	{Path: "models.NAME.adapters", Text: "Adapters that callers may request."},
	{Path: "models.NAME.piece_tokens", Default: 2048, Min: 16, Max: 65536, Unit: "tokens", Text: "Prompt tokens per cache piece, the unit in which engines cache prompts."},

	{Path: "upstreams.NAME.kind", Required: true, OneOf: []string{string(KindEngine), string(KindService)}, Text: "A model engine or one replica of a plain service."},
	{Path: "upstreams.NAME.address", Required: true, Unit: "host:port", Text: "Address that requests are sent to; unique."},
	{Path: "upstreams.NAME.data_centre", Required: true, Text: "Data centre that the upstream runs in."},
	{Path: "upstreams.NAME.models", Text: "Models that an engine serves; required for engines, not allowed for services."},
	{Path: "upstreams.NAME.service", Text: "Plain service that the upstream is a replica of; required for services, not allowed for engines."},
	{Path: "upstreams.NAME.checks_fencing", Text: "Whether the engine rejects orders with an outdated fencing token."},
	{Path: "upstreams.NAME.leaving", Text: "Whether the upstream is being removed and gets no new requests."},
	{Path: "upstreams.NAME.group", Text: "Group whose orders are issued by one lease holder; empty: the upstream's data centre."},
	{Path: "upstreams.NAME.role", Default: "mixed", OneOf: []string{"mixed", "prefill", "decode"}, Text: "Role of an engine."},
	{Path: "upstreams.NAME.concurrency", Default: 64, Min: 1, Max: maxConcurrency, Unit: "requests", Text: "Concurrent requests that the upstream accepts."},

	{Path: "routes.NAME.path", Required: true, Text: "Path prefix; must not overlap the model API or another route with a method in common."},
	{Path: "routes.NAME.methods", Default: []string{"GET"}, OneOf: []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, Text: "HTTP methods."},
	{Path: "routes.NAME.service", Required: true, Text: "Plain service that handles the requests."},
	{Path: "routes.NAME.repeatable", Text: "Whether a request may be sent more than once; if not, it runs at most once and requires an Idempotency-Key."},
	{Path: "routes.NAME.timeout", Default: Duration(10 * time.Second), Min: float64(10 * time.Millisecond), Max: float64(time.Hour), Unit: "duration", Text: "Timeout for the complete response."},

	{Path: "workspaces.NAME.key_sha256", Required: true, Unit: "hex", Text: "SHA-256 hashes of the bearer keys; no two workspaces may share a hash."},
	{Path: "workspaces.NAME.requests_per_second", Default: 50.0, Min: 0.001, Max: maxRate, Unit: "1/s", Text: "Rate limit across all daemons."},
	{Path: "workspaces.NAME.tokens_per_minute", Default: 1e6, Min: 1, Max: maxRate, Unit: "tokens/min", Text: "Rate limit of prompt and output tokens across all daemons."},
	{Path: "workspaces.NAME.weight", Default: 1.0, Min: 0.01, Max: 100, Text: "Relative share of the capacity under overload."},
	{Path: "workspaces.NAME.models", Text: "Models that the workspace may use; empty: all."},
	{Path: "workspaces.NAME.routes", Text: "Routes that the workspace may use; empty: all."},

	{Path: "caller.max_body", Default: Size(8 << 20), Min: 1 << 10, Max: 256 << 20, Unit: "size", Text: "Largest request body."},
	{Path: "caller.max_header", Default: Size(64 << 10), Min: 1 << 10, Max: 1 << 20, Unit: "size", Text: "Largest request header; it may have 16,384 fields."},
	{Path: "caller.max_connections", Default: 4096, Min: 1, Max: maxConcurrency, Unit: "connections", Text: "Open connections per daemon."},
	{Path: "caller.read_timeout", Default: Duration(30 * time.Second), Min: float64(100 * time.Millisecond), Max: float64(time.Hour), Unit: "duration", Text: "Timeout for reading a complete request."},
	{Path: "caller.write_timeout", Default: Duration(5 * time.Minute), Min: float64(time.Second), Max: float64(day), Unit: "duration", Text: "Time without progress in sending the response after which a caller's connection is closed."},
	{Path: "caller.deadline_max", Default: Duration(2 * time.Minute), Min: float64(10 * time.Millisecond), Max: float64(day), Unit: "duration", Text: "Longest deadline that a caller may set."},
	{Path: "caller.deadline", Default: Duration(20 * time.Second), Min: float64(10 * time.Millisecond), Max: float64(day), Unit: "duration", Text: "Deadline for the first token if the caller sets none."},

	{Path: "placement.owners", Default: 3, Min: 1, Max: 64, Unit: "engines", Text: "Initial number of owners of a prefix; a frequently requested prefix gets more."},
	{Path: "placement.owners_max", Default: 8, Min: 1, Max: 1024, Unit: "engines", Text: "Largest number of owners of a prefix."},
	{Path: "placement.sample", Default: 64, Min: 1, Max: 1 << 20, Text: "Sampling of cache events: one in this many is read."},
	{Path: "placement.bound", Default: 1.5, Min: 1, Max: 100, Text: "Ratio of an owner's load to the mean load above which the owner counts as overloaded."},

	{Path: "admission.queue_max", Default: 512, Min: 0, Max: maxConcurrency, Unit: "requests", Text: "Largest number of queued requests per daemon."},
	{Path: "admission.long_tokens", Default: 8192, Min: 1, Max: maxTokens, Unit: "tokens", Text: "Uncached prompt tokens plus expected output tokens from which a request counts as long."},
	{Path: "admission.long_share", Default: 0.5, Min: 0.01, Max: 1, Unit: "share", Text: "Largest share of upstreams that serve long requests."},
	{Path: "admission.slow_share", Default: 0.34, Min: 0, Max: 1, Unit: "share", Text: "Largest share of upstreams that are marked slow at a time."},
	{Path: "admission.window_start", Default: 16, Min: 1, Max: maxConcurrency, Unit: "requests", Text: "Initial concurrency window per engine, across all daemons."},

	{Path: "retry.budget", Default: 0.1, Min: 0, Max: 1, Unit: "share", Text: "Retry budget as a share of requests."},
	{Path: "retry.hedge_budget", Default: 0.05, Min: 0, Max: 1, Unit: "share", Text: "Budget for hedged attempts as a share of requests."},
	{Path: "retry.attempts_max", Default: 3, Min: 1, Max: 10, Unit: "attempts", Text: "Largest number of attempts per request."},
	{Path: "retry.hedge_after", Default: Duration(300 * time.Millisecond), Min: float64(time.Millisecond), Max: float64(time.Hour), Unit: "duration", Text: "Shortest delay before a hedged attempt."},

	{Path: "orders.loads_at_once", Default: 2, Min: 1, Max: 1000, Unit: "loads", Text: "Concurrent weight loads; set it from the weight store's limit."},
	{Path: "orders.keep_share", Default: 0.5, Min: 0, Max: 1, Unit: "share", Text: "Share of a model's engines that keep serving while others load."},
	{Path: "orders.lease", Default: Duration(10 * time.Second), Min: float64(time.Second), Max: float64(time.Hour), Unit: "duration", Text: "Duration of the lease under which a daemon issues orders."},
	{Path: "orders.delivery", Default: Duration(5 * time.Second), Min: float64(10 * time.Millisecond), Max: float64(time.Hour), Unit: "duration", Text: "Longest time that an order may be in transit."},

	{Path: "calls.streams", Default: 1, Min: 1, Max: 4096, Unit: "streams", Text: "Log streams that intents are partitioned over; can't be changed later."},
	{Path: "calls.horizon", Default: Duration(day), Min: float64(time.Minute), Max: float64(30 * day), Unit: "duration", Text: "Time for which an idempotency key is remembered."},
	{Path: "calls.wait", Default: Duration(5 * time.Second), Min: 0, Max: float64(time.Minute), Unit: "duration", Text: "Time for which a repeated call waits for the result of the first one."},

	{Path: "publish.ack_timeout", Default: Duration(6 * time.Second), Min: float64(500 * time.Millisecond), Max: float64(10 * time.Minute), Unit: "duration", Text: "Time without an answer after which a VM counts as refusing the candidate."},
	{Path: "publish.change_max", Default: 0.3, Min: 0, Max: 1, Unit: "share", Text: "Largest share of items that a version may remove or change without an override."},
	{Path: "publish.takeover", Default: Duration(time.Second), Min: float64(50 * time.Millisecond), Max: float64(time.Minute), Unit: "duration", Text: "Delay before the next-ranked VM takes over an undecided candidate."},
	{Path: "publish.detach", Default: Duration(5 * time.Second), Min: float64(2 * time.Second), Max: float64(10 * time.Minute), Unit: "duration", Text: "Time without the log and without enough peers after which a daemon stops admitting requests."},
	{Path: "publish.reappend", Default: Duration(time.Hour), Min: float64(time.Second), Max: float64(7 * day), Unit: "duration", Text: "Age at which the version in force is appended to the log again; must be well below the log's retention."},
}

// keysByPath maps the path of each key to its entry in keys.
var keysByPath = func() map[string]*Key {
	byPath := make(map[string]*Key, len(keys))
	for i := range keys {
		byPath[keys[i].Path] = &keys[i]
	}
	return byPath
}()

// Keys returns the table of all keys in the order of the reference page.
func Keys() []Key { return keys }

// bounded reports whether the values of k have a range.
func (k *Key) bounded() bool { return k.Min != 0 || k.Max != 0 }

// fieldName returns the TOML name of a field, or "-" if it has none.
func fieldName(f reflect.StructField) string { return f.Tag.Get("toml") }
