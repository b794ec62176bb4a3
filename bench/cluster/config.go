package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"currantpulley/bench/site"
	"currantpulley/bench/workload"
	"currantpulley/internal/config"
)

// productionPieceTokens is the size of a cache piece that the defaults of the
// configuration are meant for. Sizes in prompt tokens are scaled down from it.
const productionPieceTokens = 2048 // tokens

const (
	defaultLongTokens = 8192
	unlimited         = 1e9 // requests per second and tokens per minute
)

// Configuration returns the configuration of the site. It has the defaults except
// for the size of a piece, sizes that scale with it, and unlimited workspaces.
func Configuration(s site.Site, engines []string) (*config.Config, error) {
	set, err := config.Parse([]config.File{
		{Name: "base.toml", Data: []byte(baseTOML())},
		{Name: s.Name + ".toml", Data: []byte(overlayTOML(s, engines))},
	})
	if err != nil {
		return nil, fmt.Errorf("parse benchmark configuration: %w", err)
	}
	return set.Site(s.Name)
}

// baseTOML returns the base file.
func baseTOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\n", config.Schema)
	fmt.Fprintf(&b, "[models.%s]\nweights = %q\npiece_tokens = %d\n", site.Model, site.Weights, site.PieceTokens)
	fmt.Fprintf(&b, "[admission]\nlong_tokens = %d\n", defaultLongTokens*site.PieceTokens/productionPieceTokens)
	for i := range workload.Workspaces() {
		sum := sha256.Sum256([]byte(workload.Key(i)))
		fmt.Fprintf(&b, "[workspaces.%s]\nkey_sha256 = [%q]\n", workload.WorkspaceName(i), hex.EncodeToString(sum[:]))
		fmt.Fprintf(&b, "requests_per_second = %.1f\ntokens_per_minute = %.1f\n", unlimited, unlimited)
	}
	return b.String()
}

// overlayTOML returns the overlay of the site, which lists the engines.
func overlayTOML(s site.Site, engines []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\nsite = %q\n", config.Schema, s.Name)
	for i, address := range engines {
		fmt.Fprintf(&b, "[upstreams.%s]\nkind = \"engine\"\naddress = %q\n", s.EngineName(i), address)
		fmt.Fprintf(&b, "data_centre = %q\nmodels = [%q]\n", s.DataCentre(i), site.Model)
	}
	return b.String()
}
