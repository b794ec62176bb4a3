package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind says how a key differs.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one key that differs between two configurations. Field is empty if
// an item or a site was added or removed as a whole.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Site   string     `json:"site"`
	Item   string     `json:"item"`  // such as "models.notes" or "caller"; empty: the site
	Field  string     `json:"field"` // such as "weights"
	Before string     `json:"before"`
	After  string     `json:"after"`
}

// String returns the change on one line.
func (c Change) String() string {
	place := strings.Trim(c.Item+"."+c.Field, ".")
	if place == "" {
		return fmt.Sprintf("site %s %s", c.Site, c.Kind)
	}
	if c.Kind != Changed {
		return fmt.Sprintf("site %s: %s %s", c.Site, place, c.Kind)
	}
	return fmt.Sprintf("site %s: %s changed from %s to %s", c.Site, place, c.Before, c.After)
}

// items maps the names of items to their fields, formatted as text.
type items map[string]map[string]string

// Diff returns the differences between a and b, sorted by site, item and field.
// A nil Set counts as empty.
func Diff(a, b *Set) []Change {
	var changes []Change
	before, after := siteItems(a), siteItems(b)
	for _, site := range unionKeys(before, after) {
		old, had := before[site]
		current, has := after[site]
		switch {
		case !has:
			changes = append(changes, Change{Kind: Removed, Site: site})
		case !had:
			changes = append(changes, Change{Kind: Added, Site: site})
		default:
			changes = append(changes, diffItems(site, old, current)...)
		}
	}
	return changes
}

// ChangeShare returns the share of a's items that b removes or changes, over
// all sites, from 0 to 1. Added items don't count. It is 0 if a is empty.
func ChangeShare(a, b *Set) float64 {
	before, after := siteItems(a), siteItems(b)
	total, changed := 0, 0
	for site, old := range before {
		total += len(old)
		for name, fields := range old {
			if !maps.Equal(fields, after[site][name]) {
				changed++
			}
		}
	}
	if total == 0 {
		return 0
	}
	return float64(changed) / float64(total)
}

func diffItems(site string, before, after items) []Change {
	var changes []Change
	for _, item := range unionKeys(before, after) {
		old, had := before[item]
		current, has := after[item]
		switch {
		case !has:
			changes = append(changes, Change{Kind: Removed, Site: site, Item: item})
		case !had:
			changes = append(changes, Change{Kind: Added, Site: site, Item: item})
		default:
			changes = append(changes, diffFields(site, item, old, current)...)
		}
	}
	return changes
}

func diffFields(site, item string, before, after map[string]string) []Change {
	var changes []Change
	for _, field := range unionKeys(before, after) {
		if before[field] != after[field] {
			changes = append(changes, Change{Changed, site, item, field, before[field], after[field]})
		}
	}
	return changes
}

// unionKeys returns the keys of a and b, sorted and without duplicates.
func unionKeys[V any](a, b map[string]V) []string {
	names := slices.Collect(maps.Keys(a))
	names = slices.AppendSeq(names, maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

// siteItems returns the items of each site.
func siteItems(s *Set) map[string]items {
	out := make(map[string]items)
	if s == nil {
		return out
	}
	for site, c := range s.sites {
		out[site] = flatten(c)
	}
	return out
}

// flatten returns the items of c. Each section, such as "caller", counts as one
// item, and so do all top-level keys together.
func flatten(c *Config) items {
	out := make(items)
	top := make(map[string]string)
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		name := fieldName(v.Type().Field(i))
		switch f := v.Field(i); f.Kind() {
		case reflect.Map:
			for _, key := range f.MapKeys() {
				out[name+"."+key.String()] = fieldTexts(f.MapIndex(key).Elem())
			}
		case reflect.Struct:
			out[name] = fieldTexts(f)
		default:
			top[name] = valueText(name, f)
		}
	}
	out[""] = top
	return out
}

// fieldTexts formats the fields of a struct by their TOML names.
func fieldTexts(v reflect.Value) map[string]string {
	out := make(map[string]string)
	for i := range v.NumField() {
		if name := fieldName(v.Type().Field(i)); name != "-" {
			out[name] = valueText(name, v.Field(i))
		}
	}
	return out
}

func valueText(name string, v reflect.Value) string {
	switch value := v.Interface().(type) {
	case Duration:
		return value.Std().String()
	case []string:
		return listText(name, value)
	default:
		return fmt.Sprint(value)
	}
}

// listText formats a list. Key hashes are abbreviated.
func listText(name string, list []string) string {
	texts := slices.Clone(list)
	if name == "key_sha256" {
		for i, hash := range texts {
			texts[i] = shortHash(hash)
		}
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
