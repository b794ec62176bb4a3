package config

import (
	"fmt"
	"reflect"
	"strings"
)

// referenceHead is the introduction of the reference page.
const referenceHead = `# Configuration

A configuration is one base file and one overlay for each site, in TOML. Together they are published as
one version, with ` + "`currantpulley publish`" + `. An overlay has the same keys as the base and ` + "`site = \"NAME\"`" + `.

- The overlay is merged over the base per table and per key. A list is replaced as a whole.
- ` + "`removed = true`" + ` in an item of an overlay removes that item of the base; the item must have no other keys.
- A daemon's configuration is the base with the overlay of its own site.
- Names of items have at most 64 letters, digits, ` + "`-`, `_` and `.`" + `.
- Durations are text such as ` + "`\"250ms\"` or `\"1h30m\"`" + `; sizes are text such as ` + "`\"64KiB\"` or `\"8MiB\"`" + `.
- The bearer keys of workspaces are never written to a file: only their SHA-256 hashes are, as
  ` + "`printf %s KEY | sha256sum`" + ` prints them.
- Settings of a single daemon are in a file of its own (` + "`examples/settings.toml`" + `). Its ` + "`limits.memory_mb`" + ` is the memory of
  the VM; all callers together may hold 0.4 of it, bodies 0.7 of that. Without it, the memory that the system states counts.
- On a platform the same file has ` + "`[crossing]`" + `, what leaving the data centre costs (not set: little), ` + "`use_paces`" + ` (off), and
  ` + "`bounds.quota_window`, `quota_overage`, `quota_slack`" + `, what is tolerated beyond quotas of workspaces ([OPERATORS](OPERATORS.md)).

` + "`currantpulley check FILE...`" + ` reports every problem as FILE:LINE: KEY: MESSAGE. A value outside its
range or of the wrong type and an unknown key are problems, and so are these: a reference to an item
that does not exist or is listed twice; a model or a route's service without an upstream that is not
leaving; two upstreams at one address; two routes with a method in common where one path equals or is below
the other; the same key hash in two workspaces; ` + "`placement.owners_max` below `placement.owners`; `caller.deadline`\nabove `caller.deadline_max`" + `; two bases; two overlays of one site; a missing or unsupported schema number.
`

// Reference returns the reference page of all keys, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceHead)
	table := ""
	for i := range keys {
		k := &keys[i]
		if t := tableOf(k.Path); t != table || i == 0 {
			table = t
			fmt.Fprintf(&b, "\n## %s\n\n| key | type | unit | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n", heading(t))
		}
		b.WriteString(row(k))
	}
	return b.String()
}

// tableOf returns the table in the path of a key.
func tableOf(path string) string {
	i := strings.LastIndex(path, ".")
	return path[:max(i, 0)]
}

func heading(table string) string {
	if table == "" {
		return "Top"
	}
	return "`[" + table + "]`"
}

// row returns the table row of a key.
func row(k *Key) string {
	t, ok := typeAt(reflect.TypeFor[Config](), strings.Split(k.Path, "."))
	if !ok {
		return ""
	}
	name := k.Path[strings.LastIndex(k.Path, ".")+1:]
	limits := strings.Join(k.OneOf, ", ")
	if k.bounded() {
		limits = boundText(t, k.Min) + " to " + boundText(t, k.Max)
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |\n", name, typeText(t), k.Unit, defaultText(t, k), limits, k.Text)
}

func defaultText(t reflect.Type, k *Key) string {
	if k.Required {
		return "required"
	}
	v := reflect.Zero(t)
	if k.Default != nil {
		v = reflect.ValueOf(k.Default).Convert(t)
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		return "empty"
	}
	return valueText("", v)
}

// typeAt returns the type of the field at path below t.
func typeAt(t reflect.Type, path []string) (reflect.Type, bool) {
	if len(path) == 0 {
		return t, true
	}
	if t.Kind() == reflect.Map {
		return typeAt(t.Elem().Elem(), path[1:])
	}
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == path[0] {
			return typeAt(t.Field(i).Type, path[1:])
		}
	}
	return nil, false
}
