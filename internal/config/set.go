package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// File is one source file of a configuration.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"-"`
}

// Set is a complete, validated configuration: the base and all overlays. It is
// immutable.
type Set struct {
	files     []File // the base first, then the overlays by name
	sites     map[string]*Config
	canonical []byte
	hash      string
}

// Parse parses, merges and validates the base and the overlays. The base is the
// one file without a site. The error is of type Problems and lists every
// problem that was found.
func Parse(files []File) (*Set, error) {
	documents, problems := parseFiles(files)
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	base, overlays, problems := splitOverlays(documents)
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	set := &Set{sites: make(map[string]*Config)}
	for _, site := range slices.Sorted(maps.Keys(overlays)) {
		c, found := buildSite(base, overlays[site])
		problems = append(problems, found...)
		set.sites[site] = c
	}
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	set.files = sortFiles(files, base.file)
	set.encodeCanonical()
	return set, nil
}

// parseFiles parses each file. Files with errors have a nil document.
func parseFiles(files []File) ([]*document, Problems) {
	var documents []*document
	var problems Problems
	seen := make(map[string]bool)
	for _, f := range files {
		if seen[f.Name] {
			problems = append(problems, Problem{File: f.Name, Message: "the file is given twice"})
		}
		seen[f.Name] = true
		d, found := parseDocument(f)
		problems = append(problems, found...)
		documents = append(documents, d)
	}
	return documents, problems
}

// splitOverlays returns the base and the overlays by site.
func splitOverlays(documents []*document) (base *document, overlays map[string]*document, problems Problems) {
	overlays = make(map[string]*document)
	for _, d := range documents {
		value, isOverlay := d.values["site"]
		site, isText := value.(string)
		at := d.positions["site"]
		switch {
		case !isOverlay && base != nil:
			problems = append(problems, Problem{File: d.file, Message: fmt.Sprintf("%s is the base already; expected site = \"NAME\" in an overlay", base.file)})
		case !isOverlay:
			base = d
		case !isText || !validName(site):
			problems = append(problems, Problem{d.file, at.line, "site", "expected the name of a site"})
		case overlays[site] != nil:
			problems = append(problems, Problem{d.file, at.line, "site", fmt.Sprintf("%s is the overlay of site %q already", overlays[site].file, site)})
		default:
			overlays[site] = d
		}
		problems = append(problems, schemaProblems(d)...)
	}
	if base == nil {
		problems = append(problems, Problem{Message: "expected one base file, which has no key site"})
	}
	if len(overlays) == 0 {
		problems = append(problems, Problem{Message: "expected at least one overlay, which has site = \"NAME\""})
	}
	return base, overlays, problems
}

// schemaProblems checks the schema number of a single file. After the merge, the
// overlay's number would hide that of the base.
func schemaProblems(d *document) Problems {
	value, present := d.values["schema"]
	if !present {
		return Problems{{File: d.file, Key: "schema", Message: fmt.Sprintf("missing; expected %d", Schema)}}
	}
	if value != int64(Schema) {
		return Problems{{d.file, d.positions["schema"].line, "schema", fmt.Sprintf("expected %d, not %s", Schema, describeValue(value))}}
	}
	return nil
}

// buildSite merges, decodes and validates the configuration of one site.
func buildSite(base, overlay *document) (*Config, Problems) {
	m, problems := merge(base, overlay)
	c, found := decode(m)
	problems = append(problems, found...)
	if len(problems) > 0 {
		return nil, problems
	}
	return c, check(m, c)
}

// sortFiles returns the base first, then the overlays by name.
func sortFiles(files []File, base string) []File {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int {
		if (a.Name == base) != (b.Name == base) {
			if a.Name == base {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return sorted
}

// canonicalFile is one file in the canonical encoding of a Set.
type canonicalFile struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// encodeCanonical sets the canonical encoding and its hash.
func (s *Set) encodeCanonical() {
	files := make([]canonicalFile, len(s.files))
	for i, f := range s.files {
		files[i] = canonicalFile{f.Name, string(f.Data)}
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(files); err != nil {
		panic(fmt.Sprintf("encode strings: %v", err)) // strings always encode
	}
	s.canonical = b.Bytes()
	s.hash = ContentHash(s.canonical)
}

// ContentHash returns the hexadecimal SHA-256 of canonical bytes.
func ContentHash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// ParseCanonical parses and validates the encoding that Canonical returns.
func ParseCanonical(canonical []byte) (*Set, error) {
	var files []canonicalFile
	if err := json.Unmarshal(canonical, &files); err != nil {
		return nil, fmt.Errorf("decode canonical configuration: %w", err)
	}
	list := make([]File, len(files))
	for i, f := range files {
		list[i] = File{Name: f.Name, Data: []byte(f.Text)}
	}
	return Parse(list)
}

// Canonical returns the canonical encoding of the set: equal files give equal
// bytes. The caller must not modify them.
func (s *Set) Canonical() []byte { return s.canonical }

// Hash returns the content hash of the canonical encoding.
func (s *Set) Hash() string { return s.hash }

// Files returns the source files, the base first.
func (s *Set) Files() []File { return slices.Clone(s.files) }

// Sites returns the names of all sites, sorted.
func (s *Set) Sites() []string { return slices.Sorted(maps.Keys(s.sites)) }

// Site returns the configuration of one site. The caller must not modify it.
func (s *Set) Site(name string) (*Config, error) {
	c, ok := s.sites[name]
	if !ok {
		return nil, fmt.Errorf("site %q does not exist; the sites are %v", name, s.Sites())
	}
	return c, nil
}

// Locate returns the position of a key of one site, or of the nearest enclosing
// table that a file contains. The Problem's message is empty.
func (s *Set) Locate(site string, path ...string) Problem {
	documents, _ := parseFiles(s.files)
	base, overlays, problems := splitOverlays(documents)
	if len(problems) > 0 || overlays[site] == nil {
		return Problem{Key: dotted(path)}
	}
	m, _ := merge(base, overlays[site])
	return m.problem(path, "")
}

// LocateKey is like Locate for a dotted key, such as "workspaces.shop.weight".
// Names of items may contain dots.
func (s *Set) LocateKey(site, key string) Problem {
	c, err := s.Site(site)
	if err != nil {
		return Problem{Key: key}
	}
	at := s.Locate(site, splitKey(c, key)...)
	at.Key = key
	return at
}

// splitKey splits a dotted key. If several items' names match, the longest is
// used.
func splitKey(c *Config, key string) []string {
	table, rest, ok := strings.Cut(key, ".")
	if !ok || !slices.Contains(itemTables, table) {
		return strings.Split(key, ".")
	}
	best := ""
	for item := range flatten(c) {
		name, inTable := strings.CutPrefix(item, table+".")
		if inTable && (rest == name || strings.HasPrefix(rest, name+".")) && len(name) > len(best) {
			best = name
		}
	}
	if best == "" {
		return append([]string{table}, strings.Split(rest, ".")...)
	}
	field := strings.TrimPrefix(strings.TrimPrefix(rest, best), ".")
	if field == "" {
		return []string{table, best}
	}
	return []string{table, best, field}
}
