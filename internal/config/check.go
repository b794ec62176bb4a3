package config

import (
	"encoding/hex"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
)

// apiPaths are the paths of the model API, which the daemon serves itself.
var apiPaths = []string{"/v1/completions", "/v1/chat/completions", "/v1/models"}

const keyHashBytes = 32 // of SHA-256

// checker validates what depends on more than one key: references, duplicates
// and overlaps.
type checker struct {
	*decoder
	config *Config
}

// check returns the problems of c, which was decoded from m.
func check(m *merged, c *Config) Problems {
	k := &checker{decoder: &decoder{source: m}, config: c}
	k.checkUpstreams()
	k.checkModels()
	k.checkRoutes()
	k.checkWorkspaces()
	k.checkLimits()
	return k.problems
}

// forEachSorted calls f for each item in order of name, so that every daemon
// reports the same problems in the same order.
func forEachSorted[T any](items map[string]T, f func(name string, item T)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		f(name, items[name])
	}
}

func (k *checker) checkUpstreams() {
	byAddress := make(map[string]string)
	forEachSorted(k.config.Upstreams, func(name string, u *Upstream) {
		at := func(key string) []string { return []string{"upstreams", name, key} }
		if !validAddress(u.Address) {
			k.report(at("address"), "expected HOST:PORT, not %q", u.Address)
		} else if other, taken := byAddress[u.Address]; taken {
			k.report(at("address"), "%s is the address of upstream %q already", u.Address, other)
		}
		byAddress[u.Address] = name
		if dcs := k.config.DataCentres; len(dcs) > 0 && !slices.Contains(dcs, u.DataCentre) {
			k.report(at("data_centre"), "data centre %q does not exist; expected one of %s", u.DataCentre, strings.Join(dcs, ", "))
		}
		k.checkKind(u, at)
	})
}

// checkKind reports keys that are missing or not allowed for the upstream's kind.
func (k *checker) checkKind(u *Upstream, at func(string) []string) {
	switch u.Kind {
	case KindEngine:
		if len(u.Models) == 0 {
			k.report(at("models"), "an engine needs at least one model")
		}
		if u.Service != "" {
			k.report(at("service"), "not allowed for an engine")
		}
		k.checkReferences(at("models"), "model", u.Models, func(n string) bool { return k.config.Models[n] != nil })
	case KindService:
		if u.Service == "" {
			k.report(at("service"), "a service replica needs the service's name")
		}
		if len(u.Models) > 0 {
			k.report(at("models"), "not allowed for a service")
		}
	}
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsAny(host, " /\t\n") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// checkReferences reports names that do not exist or are listed twice. The kind
// of item is named by what.
func (k *checker) checkReferences(path []string, what string, names []string, exists func(string) bool) {
	for i, n := range names {
		if !exists(n) {
			k.report(path, "%s %q does not exist", what, n)
		}
		if slices.Contains(names[:i], n) {
			k.report(path, "%s %q is listed twice", what, n)
		}
	}
}

func (k *checker) checkModels() {
	forEachSorted(k.config.Models, func(name string, m *Model) {
		if m.Weights == "" {
			k.report([]string{"models", name, "weights"}, "expected a weights version, not an empty string")
		}
		if !k.anyUpstream(func(u *Upstream) bool { return u.Kind == KindEngine && slices.Contains(u.Models, name) }) {
			k.report([]string{"models", name}, "no upstream is left for the model; expected at least one engine that is not leaving")
		}
	})
}

// anyUpstream reports whether an upstream that is not leaving matches.
func (k *checker) anyUpstream(match func(*Upstream) bool) bool {
	for _, u := range k.config.Upstreams {
		if !u.Leaving && match(u) {
			return true
		}
	}
	return false
}

func (k *checker) checkRoutes() {
	names := slices.Sorted(maps.Keys(k.config.Routes))
	for i, name := range names {
		r := k.config.Routes[name]
		k.checkRoute(name, r)
		for _, other := range names[:i] {
			if overlaps(r, k.config.Routes[other]) {
				k.report([]string{"routes", name, "path"}, "overlaps with route %q (%s); expected another path or other methods", other, k.config.Routes[other].Path)
			}
		}
	}
}

func (k *checker) checkRoute(name string, r *Route) {
	at := func(key string) []string { return []string{"routes", name, key} }
	if !strings.HasPrefix(r.Path, "/") || r.Path == "/" || strings.ContainsAny(r.Path, "?# ") {
		k.report(at("path"), "expected a path such as \"/ledger\", not %q", r.Path)
	}
	for _, api := range apiPaths {
		if isUnder(api, r.Path) || isUnder(r.Path, api) {
			k.report(at("path"), "overlaps with %s, which the daemon serves itself", api)
		}
	}
	if len(r.Methods) == 0 {
		k.report(at("methods"), "expected at least one method")
	}
	if !k.anyUpstream(func(u *Upstream) bool { return u.Kind == KindService && u.Service == r.Service }) {
		k.report(at("service"), "no upstream is left for service %q; expected at least one replica that is not leaving", r.Service)
	}
}

// overlaps reports whether a request could match both routes.
func overlaps(a, b *Route) bool {
	if !isUnder(a.Path, b.Path) && !isUnder(b.Path, a.Path) {
		return false
	}
	return slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) })
}

// isUnder reports whether path equals prefix or is below it.
func isUnder(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (k *checker) checkWorkspaces() {
	owner := make(map[string]string)
	forEachSorted(k.config.Workspaces, func(name string, w *Workspace) {
		at := func(key string) []string { return []string{"workspaces", name, key} }
		if len(w.KeySHA256) == 0 {
			k.report(at("key_sha256"), "expected at least one hash")
		}
		for _, hash := range w.KeySHA256 {
			k.checkKeyHash(at("key_sha256"), name, hash, owner)
		}
		k.checkReferences(at("models"), "model", w.Models, func(n string) bool { return k.config.Models[n] != nil })
		k.checkReferences(at("routes"), "route", w.Routes, func(n string) bool { return k.config.Routes[n] != nil })
	})
}

// checkKeyHash validates a hash and that no other workspace has it. No message
// shows more of a hash than shortHash returns.
func (k *checker) checkKeyHash(path []string, workspace, hash string, owner map[string]string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		k.report(path, "expected a SHA-256 hash of 64 lower-case hexadecimal digits")
		return
	}
	if other, taken := owner[hash]; taken {
		k.report(path, "the hash %s belongs to workspace %q already", shortHash(hash), other)
	}
	owner[hash] = workspace
}

const shortHashDigits = 8

// shortHash abbreviates the hash of a key for messages and diffs.
func shortHash(hash string) string { return hash[:min(len(hash), shortHashDigits)] + "…" }

func (k *checker) checkLimits() {
	c := k.config
	if c.Placement.OwnersMax < c.Placement.Owners {
		k.report([]string{"placement", "owners_max"}, "expected at least placement.owners (%d)", c.Placement.Owners)
	}
	if c.Caller.Deadline > c.Caller.DeadlineMax {
		k.report([]string{"caller", "deadline"}, "expected at most caller.deadline_max (%s)", c.Caller.DeadlineMax.Std())
	}
	for i, dc := range c.DataCentres {
		if !validName(dc) || slices.Contains(c.DataCentres[:i], dc) {
			k.report([]string{"data_centres"}, "%q is not a valid name or is listed twice", dc)
		}
	}
}
