package config

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/CONFIG.md")

const referencePage = "../../docs/CONFIG.md"

const goodBase = `schema = 1
[models.notes]
weights = "w1"
[routes.stock]
path = "/stock"
service = "booking"
repeatable = true
[workspaces.shop]
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000001"]
`

const goodOverlay = `schema = 1
site = "punjab"
[upstreams.engine-1]
kind = "engine"
address = "127.0.0.1:9001"
data_centre = "a"
models = ["notes"]
[upstreams.booking-1]
kind = "service"
address = "127.0.0.1:9002"
data_centre = "a"
service = "booking"
`

func files(base, overlay string) []File {
	return []File{{"base.toml", []byte(base)}, {"punjab.toml", []byte(overlay)}}
}

func TestMergeDefaultsAndRemoval(t *testing.T) {
	set, err := Parse(files(goodBase+"[placement]\nowners = 4\nsample = 2\n", goodOverlay+
		"[placement]\nowners = 5\n[models.notes]\npiece_tokens = 32\n[routes.stock]\nremoved = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := set.Site("punjab")
	if err != nil {
		t.Fatal(err)
	}
	m := c.Models["notes"]
	got := []any{c.Placement.Owners, c.Placement.EventSampling, c.Placement.OwnersMax, m.Weights, m.PieceTokens, m.Name, len(c.Routes), c.Caller.MaxBody}
	want := []any{5, 2, 8, "w1", 32, "notes", 0, Size(8 << 20)}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	again, err := ParseCanonical(set.Canonical())
	if err != nil || again.Hash() != set.Hash() {
		t.Fatalf("canonical form: hash %s, %v; want %s", again.Hash(), err, set.Hash())
	}
}

// TestProblems makes one edit to valid files per case and expects a problem with
// the given file, line, key and part of the message.
func TestProblems(t *testing.T) {
	const b, o = "base.toml", "punjab.toml"
	for _, c := range []struct {
		name, file, from, to string
		want                 Problem
	}{
		{"syntax", b, "schema = 1", "schema = = 1", Problem{b, 1, "", "expected TOML"}},
		{"duplicate key", b, `weights = "w1"`, "weights = \"w1\"\nweights = \"w2\"", Problem{b, 4, "weights", "expected TOML: key weights is already defined"}},
		{"unknown key", b, "[models.notes]", "[models.notes]\nwieght = 1", Problem{b, 3, "models.notes.wieght", "unknown key; expected one of adapters, piece_tokens, weights"}},
		{"unknown table", o, goodOverlay, goodOverlay + "[model.notes]\n", Problem{o, 13, "model", "unknown key"}},
		{"removed in the base", b, "[routes.stock]", "[routes.old]\nremoved = true\n[routes.stock]", Problem{b, 5, "routes.old.removed", "unknown key"}},
		{"removed but absent", o, goodOverlay, goodOverlay + "[routes.old]\nremoved = true\n", Problem{o, 14, "routes.old.removed", "no such item"}},
		{"wrong type", b, `weights = "w1"`, "weights = 7", Problem{b, 3, "models.notes.weights", "expected a string, not 7"}},
		{"item is not a table", b, "[models.notes]", "[models]\nnotes = 1\n[models.other]", Problem{b, 3, "models.notes", "expected a table"}},
		{"bad unit", b, "schema = 1", "schema = 1\ncaller.max_body = \"8MB\"", Problem{b, 2, "caller.max_body", `expected a size such as "32MiB" from 1KiB to 256MiB`}},
		{"bad duration", b, "schema = 1", "schema = 1\ncaller = { deadline = 5 }", Problem{b, 2, "caller.deadline", `expected a duration such as "250ms"`}},
		{"out of range", o, "schema = 1", "schema = 1\nretry.budget = 1.5", Problem{o, 2, "retry.budget", "out of range; expected a number from 0 to 1"}},
		{"not a number", o, "schema = 1", "schema = 1\nretry.budget = nan", Problem{o, 2, "retry.budget", "expected a number"}},
		{"unknown value", o, `kind = "engine"`, `kind = "motor"`, Problem{o, 4, "upstreams.engine-1.kind", `"motor" is not allowed; expected a string out of engine, service`}},
		{"missing key", o, `address = "127.0.0.1:9001"`, "", Problem{o, 3, "upstreams.engine-1.address", "missing"}},
		{"missing model", o, `models = ["notes"]`, `models = ["notes", "nots"]`, Problem{o, 7, "upstreams.engine-1.models", `model "nots" does not exist`}},
		{"engine without models", o, `models = ["notes"]`, "leaving = true", Problem{o, 3, "upstreams.engine-1.models", "an engine needs at least one model"}},
		{"last engine is leaving", o, `models = ["notes"]`, "models = [\"notes\"]\nleaving = true", Problem{b, 2, "models.notes", "no upstream is left"}},
		{"missing service", b, `service = "booking"`, `service = "bookings"`, Problem{b, 6, "routes.stock.service", "no upstream is left for service"}},
		{"missing route", b, "[workspaces.shop]", "[workspaces.shop]\nroutes = [\"stocks\"]", Problem{b, 9, "workspaces.shop.routes", `route "stocks" does not exist`}},
		{"key in two workspaces", b, "[workspaces.shop]", "[workspaces.a]\nkey_sha256 = [\"" + strings.Repeat("0", 63) + "1\"]\n[workspaces.shop]", Problem{b, 11, "workspaces.shop.key_sha256", `the hash 00000000… belongs to workspace "a" already`}},
		{"key in plain text", b, strings.Repeat("0", 63) + "1", "secret", Problem{b, 9, "workspaces.shop.key_sha256", "expected a SHA-256 hash"}},
		{"overlapping routes", b, "[workspaces.shop]", "[routes.z]\npath = \"/stock/item\"\nservice = \"booking\"\n[workspaces.shop]", Problem{b, 9, "routes.z.path", `overlaps with route "stock" (/stock)`}},
		{"route over the API", b, `path = "/stock"`, `path = "/v1"`, Problem{b, 5, "routes.stock.path", "overlaps with /v1/"}},
		{"two upstreams at an address", o, "127.0.0.1:9002", "127.0.0.1:9001", Problem{o, 5, "upstreams.engine-1.address", `is the address of upstream "booking-1" already`}},
		{"bad address", o, "127.0.0.1:9001", "127.0.0.1", Problem{o, 5, "upstreams.engine-1.address", "expected HOST:PORT"}},
		{"unknown data centre", o, "schema = 1", "schema = 1\ndata_centres = [\"b\"]", Problem{o, 7, "upstreams.engine-1.data_centre", `data centre "a" does not exist`}},
		{"owners", o, "schema = 1", "schema = 1\nplacement = { owners = 9 }", Problem{o, 2, "placement.owners_max", "expected at least placement.owners"}},
		{"schema", b, "schema = 1", "schema = 2", Problem{b, 1, "schema", "expected 1, not 2"}},
		{"no schema", o, "schema = 1", "", Problem{o, 0, "schema", "missing; expected 1"}},
		{"bad item name", b, "[models.notes]", "[models.\"a b\"]\nweights = \"w\"\n[models.notes]", Problem{b, 2, "models.a b", "expected a name"}},
		{"two bases", o, `site = "punjab"`, "", Problem{o, 0, "", "base.toml is the base already"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			base, overlay := goodBase, goodOverlay
			edited := &base
			if c.file == o {
				edited = &overlay
			}
			changed := strings.Replace(*edited, c.from, c.to, 1)
			if changed == *edited {
				t.Fatal("the edit has no effect")
			}
			*edited = changed
			_, err := Parse(files(base, overlay))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("Parse: %v; want problems", err)
			}
			for _, p := range problems {
				if p.File == c.want.File && p.Line == c.want.Line && p.Key == c.want.Key && strings.Contains(p.Message, c.want.Message) {
					return
				}
			}
			t.Fatalf("got:\n%v\nwant:\n%v", err, c.want)
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	_, err := Parse(files(goodBase+"[placement]\nowners = 0\nsampel = 2\n", goodOverlay+"[retry]\nbudget = \"x\"\n"))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 3 {
		t.Fatalf("got %v; want 3 problems", err)
	}
}

func TestDiff(t *testing.T) {
	a, err := Parse(files(goodBase, goodOverlay))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse(files(strings.Replace(goodBase, "w1", "w2", 1)+"[models.new]\nweights = \"w\"\n",
		strings.Replace(goodOverlay, `["notes"]`, `["notes", "new"]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := []Change{
		{Added, "punjab", "models.new", "", "", ""},
		{Changed, "punjab", "models.notes", "weights", "w1", "w2"},
		{Changed, "punjab", "upstreams.engine-1", "models", "[notes]", "[notes, new]"},
	}
	if got := Diff(a, b); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got := Diff(a, a); len(got) != 0 {
		t.Fatalf("a set differs from itself: %v", got)
	}
	// There are 5 items, 7 sections and the top-level keys; one model and one
	// upstream change.
	if got, want := ChangeShare(a, b), 2.0/float64(5+len(sections())); got != want {
		t.Fatalf("share %v, want %v", got, want)
	}
}

// sections returns the names that ChangeShare counts besides the items.
func sections() []string {
	names := []string{"top"}
	v := reflect.TypeFor[Config]()
	for i := range v.NumField() {
		if v.Field(i).Type.Kind() == reflect.Struct {
			names = append(names, v.Field(i).Name)
		}
	}
	return names
}

func TestExamplesPass(t *testing.T) {
	for site, engines := range map[string]int{"atlas/casablanca": 12, "indus/punjab": 9, "indus/sindh": 9} {
		dir, name := filepath.Split(site)
		var sources []File
		paths, _ := filepath.Glob("../../examples/" + dir + "*.toml")
		for _, p := range paths {
			data, err := os.ReadFile(p)
			if err != nil {
				t.Fatal(err)
			}
			sources = append(sources, File{filepath.Base(p), data})
		}
		set, err := Parse(sources)
		if err != nil {
			t.Fatalf("%s:\n%v", site, err)
		}
		c, err := set.Site(name)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, u := range c.Upstreams {
			if u.Kind == KindEngine {
				found++
			}
		}
		if found != engines {
			t.Fatalf("%s has %d engines, want %d", site, found, engines)
		}
	}
}

// TestReferencePage fails if a field has no entry in the table of keys, an entry
// has no field, or the committed page is out of date.
func TestReferencePage(t *testing.T) {
	fields := make(map[string]bool)
	collect(reflect.TypeFor[Config](), "", fields)
	for _, k := range Keys() {
		if !fields[k.Path] {
			t.Errorf("key %s has no field", k.Path)
		}
		delete(fields, k.Path)
	}
	for path := range fields {
		t.Errorf("field %s has no key", path)
	}
	if *update {
		if err := os.WriteFile(referencePage, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(referencePage)
	if err != nil || string(page) != Reference() {
		t.Fatalf("docs/CONFIG.md differs from the code (%v); run go test ./internal/config -update", err)
	}
}

// collect adds the paths of all fields below v to into.
func collect(v reflect.Type, path string, into map[string]bool) {
	for i := range v.NumField() {
		f := v.Field(i)
		name := strings.TrimPrefix(path+"."+fieldName(f), ".")
		switch {
		case fieldName(f) == "-":
		case f.Type.Kind() == reflect.Struct:
			collect(f.Type, name, into)
		case f.Type.Kind() == reflect.Map:
			collect(f.Type.Elem().Elem(), name+"."+itemName, into)
		default:
			into[name] = true
		}
	}
}

func TestSizes(t *testing.T) {
	for text, want := range map[string]Size{"0B": 0, "64KiB": 64 << 10, "3GiB": 3 << 30, "17B": 17} {
		var s Size
		if err := s.UnmarshalText([]byte(text)); err != nil || s != want || s.String() != text {
			t.Errorf("%s: %d (%s), %v", text, s, s, err)
		}
	}
	for _, text := range []string{"", "B", "8", "8MB", "-1B", "1.5MiB", "9999999999GiB"} {
		if new(Size).UnmarshalText([]byte(text)) == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(goodBase, goodOverlay)
	f.Add("schema = 1\nmodels = [1]", "site = 1\nschema = 1\n[models]\na.removed = true")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		set, err := Parse(files(base, overlay))
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		again, err := ParseCanonical(set.Canonical())
		if err != nil || again.Hash() != set.Hash() || len(Diff(set, again)) != 0 {
			t.Fatalf("the canonical form is not stable: %v", err)
		}
	})
}
