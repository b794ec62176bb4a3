// Package catalog holds the data that providers supply: routes, services,
// workspaces, upstreams and the target weights version of each model. A Watcher
// keeps it in immutable snapshots that requests read.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"currantpulley/internal/quota"
	"currantpulley/internal/rendezvous"
)

// Kind is the kind of a route. It determines whether a request may run more than
// once.
type Kind uint8

// Kinds of routes.
const (
	Once       Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run again after a failure
	Stream                 // responds with an event stream; runs once unless the route is resumable
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "once"
}

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Resumable bool // a broken stream may be resumed at another upstream
	Public    bool // needs no key
	Prompted  bool // requests carry a prompt for a model; not used
	Timeout   time.Duration
	// EventTimeout is the time after which callers of a stream leave if no event comes,
	// the first one included; 0: they wait until the deadline.
	EventTimeout time.Duration
	MaxAttempts  int // maximum number of upstreams that may run one request
	Rank         int // 0 is the most urgent
	Shares       []Share
}

// MayRepeat reports whether a request may be sent again after a failure of an
// upstream that may have run it.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the weight of a service in a route's traffic split.
type Share struct {
	Service string
	Weight  int // relative to the sum over the route's shares
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string      // not used
	MaxConnections int         // limit for one upstream, over all daemons; not enforced
	Engine         *Engine     // nil: a plain service
	Store          *CacheStore // nil: not a store of cache entries
}

// Engine describes the model engines of a service. The router uses only whether a
// service has one, not its fields.
type Engine struct {
	Slots       int // requests that one engine runs at once
	CacheTokens int // capacity of one engine's cache, in tokens
	TokenBytes  int // cache memory used by one token
	Models      []string
}

// CacheStore is a store that engines fetch cache entries from.
type CacheStore struct {
	Address    string
	DataCentre string // not used
}

// ShortID returns a 32-bit id of the store, which is the same on every daemon.
func (s *CacheStore) ShortID() uint32 { return uint32(rendezvous.Hash(s.Address)) }

// Workspace is a customer, identified by its keys.
type Workspace struct {
	Name     string
	Rank     int  // takes precedence over that of the route; RankUnset: the route's applies
	Isolated bool // shares no cache entries with other workspaces
	Quota    quota.Quota
	QuotaErr error // why the quota can't be read; nil: it can
}

// RankUnset is the rank of a workspace without a rank of its own.
const RankUnset = -1

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	MaxHeader     int64         // bytes
	MaxBody       int64         // bytes
	HeaderTimeout time.Duration // to send a complete header; not enforced
	IdleTimeout   time.Duration // of a connection without a request; not enforced
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version    uint64
	Routes     map[string][]*Route // by host, longest prefix first
	Services   map[string]*Service
	Stores     []*CacheStore         // of all services, sorted by address
	Workspaces map[string]*Workspace // by key
	NeedsKey   bool                  // routes that are not public need a key
	HasQuotas  bool                  // some workspaces have quotas
	Limits     Limits

	cacheGroups cacheGroups // of the workspaces
}

// ResumableRoutes returns the routes whose streams callers may resume.
func (c *Config) ResumableRoutes() []*Route {
	var out []*Route
	for _, routes := range c.Routes {
		for _, r := range routes {
			if r.Kind == Stream && r.Resumable {
				out = append(out, r)
			}
		}
	}
	return out
}

// longestStream returns the longest timeout of the routes of resumable streams.
func (c *Config) longestStream() time.Duration {
	longest := time.Duration(0)
	for _, r := range c.ResumableRoutes() {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// KeepQuotas gives each workspace whose quota can't be read the one that it has in
// before, the configuration in force. One that is not there is closed. It returns the
// workspaces in question.
func (c *Config) KeepQuotas(before *Config) []*Workspace {
	known := make(map[string]quota.Quota)
	if before != nil {
		for _, w := range before.Workspaces {
			known[w.Name] = w.Quota
		}
	}
	bad := make(map[string]*Workspace)
	for _, w := range c.Workspaces {
		if w.QuotaErr == nil {
			continue
		}
		q, ok := known[w.Name]
		if !ok {
			q = quota.Quota{Closed: true}
		}
		w.Quota, bad[w.Name] = q, w
	}
	return slices.Collect(maps.Values(bad))
}

// AddService adds a service and its cache store, if it has one.
func (c *Config) AddService(s *Service) {
	c.Services[s.Name] = s
	if s.Store == nil {
		return
	}
	c.Stores = append(c.Stores, s.Store)
	slices.SortFunc(c.Stores, func(a, b *CacheStore) int { return cmp.Compare(a.Address, b.Address) })
}

// AddRoute adds a route, keeping the routes of its host sorted by the length of
// their prefixes, longest first.
func (c *Config) AddRoute(r *Route) {
	c.Routes[r.Host] = append(c.Routes[r.Host], r)
	slices.SortStableFunc(c.Routes[r.Host], func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// Match returns the route of host with the longest matching prefix of path, or
// nil if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.Routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Services returns the names of the services that requests of the route may go to.
func (r *Route) Services() []string {
	var out []string
	for _, share := range r.Shares {
		if share.Weight > 0 {
			out = append(out, share.Service)
		}
	}
	return out
}

// PickService returns the name of the service for a request whose id hashes to
// hash, in proportion to the weights of the shares. It returns "" when the
// weights sum to zero.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Upstream is one running replica of a service. A replica that restarts is a
// different upstream, even with the same id.
type Upstream struct {
	ID         string
	Started    int64 // Unix milliseconds
	Service    string
	Address    string
	DataCentre string
	Software   string            // version of the software that it runs, not of its weights; versions have no order
	Slots      int               // requests that it runs at once
	Leaving    bool              // is shutting down and gets no new work
	Weights    map[string]uint64 // version served, by model
	shortID    uint32            // cached Key().ShortID(), set by PutUpstream
	build      Build             // cached, set by PutUpstream
}

// Key identifies one run of an upstream by its id and start time.
type Key struct {
	ID      string
	Started int64
}

// ShortID returns a 32-bit id of the upstream, which is the same on every
// daemon.
func (k Key) ShortID() uint32 {
	return uint32(rendezvous.Weight(rendezvous.Hash(k.ID), uint64(k.Started)))
}

// Key returns the upstream's key.
func (u *Upstream) Key() Key { return Key{u.ID, u.Started} }

// ShortID returns the 32-bit id of the upstream's key.
func (u *Upstream) ShortID() uint32 {
	if u.shortID != 0 {
		return u.shortID
	}
	return u.Key().ShortID()
}

// WeightsTarget is the target weights version of a model: the newest one that
// operators announced.
type WeightsTarget struct {
	Version       uint64
	announcements []announcement // the newest ones, oldest first
}

// announcement is a weights version and the time at which this daemon knows or
// assumes it was announced.
type announcement struct {
	Announcement
	estimated bool // the time is assumed; no daemon that saw the announcement has reported it
}

// maxAnnouncements is the number of announcements kept for a model.
const maxAnnouncements = 16

// withNewest returns w with n, the announcement of a newer version, added.
func (w WeightsTarget) withNewest(n announcement) WeightsTarget {
	all := append(slices.Clone(w.announcements), n)
	return WeightsTarget{Version: n.Version, announcements: all[max(0, len(all)-maxAnnouncements):]}
}

// withTime returns w with the time that another daemon reports for a version, and
// whether that changed anything. The time replaces a worse one or adds an
// announcement that was missed; a version newer than the target is ignored.
func (w WeightsTarget) withTime(a Announcement) (WeightsTarget, bool) {
	i, known := slices.BinarySearchFunc(w.announcements, a.Version, func(n announcement, v uint64) int { return cmp.Compare(n.Version, v) })
	switch {
	case known && w.announcements[i].isWorseThan(a):
		w.announcements = slices.Clone(w.announcements)
		w.announcements[i] = announcement{Announcement: a}
		return w, true
	case !known && a.Version < w.Version:
		w.announcements = slices.Insert(slices.Clone(w.announcements), i, announcement{Announcement: a})
		w.announcements = w.announcements[max(0, len(w.announcements)-maxAnnouncements):]
		return w, true
	}
	return w, false
}

// minTimeGain is the least difference for which a known time is replaced by an
// earlier one. Without it the snapshot would change with most reports.
const minTimeGain = 20 * time.Millisecond

// isWorseThan reports whether the time of a is to be used instead of n's: an
// observed time is never too early, so the earliest of them is the best.
func (n announcement) isWorseThan(a Announcement) bool {
	if n.estimated {
		return true
	}
	return a.Observed && (!n.Observed || n.At.Sub(a.At) > minTimeGain)
}

// Behind returns how long before now the first known version newer than version
// was announced, and false when no newer version is known.
func (w WeightsTarget) Behind(version uint64, now time.Time) (time.Duration, bool) {
	for _, n := range w.announcements {
		if n.Version > version {
			return now.Sub(n.At), true
		}
	}
	return 0, false
}

// Announcement is a weights version and the time at which it was announced.
type Announcement struct {
	Version uint64
	At      time.Time
	// Observed: a daemon that was waiting for it received it at At, so it was not
	// announced later. Otherwise it was announced at At at the earliest.
	Observed bool
}

// Announcements returns up to most of the newest announcements whose time is not
// estimated, newest first.
func (w WeightsTarget) Announcements(most int) []Announcement {
	var out []Announcement
	for i := len(w.announcements) - 1; i >= 0 && len(out) < most; i-- {
		if n := w.announcements[i]; !n.estimated {
			out = append(out, n.Announcement)
		}
	}
	return out
}
