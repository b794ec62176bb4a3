package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

const (
	// sharedGroup begins the name of the group of all workspaces that aren't isolated.
	sharedGroup = "shared"
	// isolatedGroup begins the name of the group of an isolated workspace.
	isolatedGroup = "workspace "
	// digestBytes is the length of the digest in the name of a shared group.
	digestBytes = 16
)

// cacheGroups assigns workspaces to groups. Only workspaces of one group use each
// other's cache entries. The zero value has one group for all.
type cacheGroups struct {
	isolated map[string]bool // by name of the workspace
	shared   string          // group of all others; empty: no workspace is isolated
}

// Isolate makes the named workspaces share cache entries with no other one.
//
// The group of all others is named after the isolated ones, so that a workspace that
// becomes isolated leaves nothing behind that they could use: under any one name, no
// entry was made for a workspace that is isolated while the name is in use. Every
// daemon derives the same name, without a record of earlier configurations.
func (c *Config) Isolate(names []string) {
	if len(names) == 0 {
		return
	}
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	isolated := make(map[string]bool, len(names))
	for _, name := range names {
		isolated[name] = true
	}
	c.cacheGroups = cacheGroups{isolated, sharedGroup + " without " + digest(names)}
}

// digest returns a hexadecimal hash of a list.
func digest(list []string) string {
	encoded, _ := json.Marshal(list) // strings can always be encoded
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:digestBytes])
}

// CacheGroup returns the group of workspaces that share cache entries with w. w may be
// from an earlier configuration, and nil for requests without a workspace. A workspace
// that either configuration isolates is alone in its group.
func (c *Config) CacheGroup(w *Workspace) string {
	if w != nil && (w.Isolated || c.cacheGroups.isolated[w.Name]) {
		return isolatedGroup + w.Name
	}
	if c.cacheGroups.shared == "" {
		return sharedGroup
	}
	return c.cacheGroups.shared
}
