package config

import (
	"encoding"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
)

// decoder converts merged values to a Config. It continues after a problem, so
// that all problems are reported together.
type decoder struct {
	source   *merged
	problems Problems
}

// decode returns the Config of one site, with defaults applied.
func decode(m *merged) (*Config, Problems) {
	d := &decoder{source: m}
	c := &Config{}
	d.decodeTable(reflect.ValueOf(c).Elem(), m.values, nil, nil)
	return c, d.problems
}

func (d *decoder) report(path []string, format string, args ...any) {
	d.problems = append(d.problems, d.source.problem(path, fmt.Sprintf(format, args...)))
}

// decodeTable sets the fields of the struct into from values. The pattern is
// path with NAME in place of an item's name.
func (d *decoder) decodeTable(into reflect.Value, values map[string]any, path, pattern []string) {
	known := make(map[string]bool)
	for i := range into.NumField() {
		name := fieldName(into.Type().Field(i))
		if name == "-" {
			continue
		}
		known[name] = true
		value, present := values[name]
		d.decodeField(into.Field(i), value, present, push(path, name), push(pattern, name))
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !known[name] {
			d.report(push(path, name), "unknown key; expected one of %s", strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
	}
}

// push returns a copy of path with name appended.
func push(path []string, name string) []string { return append(slices.Clip(path), name) }

func (d *decoder) decodeField(into reflect.Value, value any, present bool, path, pattern []string) {
	switch into.Kind() {
	case reflect.Struct:
		if values, ok := d.asTable(value, present, path); ok {
			d.decodeTable(into, values, path, pattern)
		}
	case reflect.Map:
		if values, ok := d.asTable(value, present, path); ok {
			d.decodeItems(into, values, path, pattern)
		}
	default:
		d.decodeScalar(into, value, present, path, keysByPath[dotted(pattern)])
	}
}

// asTable returns value as a table, or an empty table if it is not present.
func (d *decoder) asTable(value any, present bool, path []string) (map[string]any, bool) {
	if !present {
		return nil, true
	}
	t, ok := value.(map[string]any)
	if !ok {
		d.report(path, "expected a table, not %s", describeValue(value))
	}
	return t, ok
}

// decodeItems fills the map into with one item for each table in values.
func (d *decoder) decodeItems(into reflect.Value, values map[string]any, path, pattern []string) {
	into.Set(reflect.MakeMap(into.Type()))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		itemPath := push(path, name)
		if !validName(name) {
			d.report(itemPath, "expected a name of at most %d letters, digits, '-', '_' and '.'", maxNameLen)
			continue
		}
		fields, ok := d.asTable(values[name], true, itemPath)
		if !ok {
			continue
		}
		item := reflect.New(into.Type().Elem().Elem())
		item.Elem().FieldByName("Name").SetString(name)
		d.decodeTable(item.Elem(), fields, itemPath, push(pattern, itemName))
		into.SetMapIndex(reflect.ValueOf(name), item)
	}
}

const maxNameLen = 64 // bytes

// validName reports whether name is allowed for a site, an item or a data centre.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLen {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}

// decodeScalar sets a field that is neither a struct nor a map, or applies its
// default.
func (d *decoder) decodeScalar(into reflect.Value, value any, present bool, path []string, key *Key) {
	if key == nil {
		d.report(path, "the key is missing from the table of keys")
		return
	}
	if !present {
		if key.Required {
			d.report(path, "missing; expected %s", expectedText(into.Type(), key))
		} else if key.Default != nil {
			into.Set(reflect.ValueOf(key.Default).Convert(into.Type()))
		}
		return
	}
	if !assign(into, value) {
		d.report(path, "expected %s, not %s", expectedText(into.Type(), key), describeValue(value))
		return
	}
	d.checkValue(into, path, key)
}

// assign stores value in into and reports whether their types are compatible.
func assign(into reflect.Value, value any) bool {
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, isText := value.(string)
		return isText && u.UnmarshalText([]byte(text)) == nil
	}
	switch v := value.(type) {
	case string:
		return assignKind(into, reflect.String, func() { into.SetString(v) })
	case bool:
		return assignKind(into, reflect.Bool, func() { into.SetBool(v) })
	case int64:
		return assignKind(into, reflect.Int, func() { into.SetInt(v) }) ||
			assignKind(into, reflect.Float64, func() { into.SetFloat(float64(v)) })
	case float64:
		return !math.IsNaN(v) && !math.IsInf(v, 0) &&
			assignKind(into, reflect.Float64, func() { into.SetFloat(v) })
	case []any:
		return assignKind(into, reflect.Slice, func() {}) && assignList(into, v)
	}
	return false
}

// assignKind calls set if into is of the given kind.
func assignKind(into reflect.Value, kind reflect.Kind, set func()) bool {
	if into.Kind() != kind {
		return false
	}
	set()
	return true
}

func assignList(into reflect.Value, values []any) bool {
	list := make([]string, len(values))
	for i, v := range values {
		text, ok := v.(string)
		if !ok {
			return false
		}
		list[i] = text
	}
	into.Set(reflect.ValueOf(list))
	return true
}

// checkValue reports a value that is out of range or not allowed.
func (d *decoder) checkValue(v reflect.Value, path []string, key *Key) {
	n, isNumber := numericValue(v)
	if isNumber && key.bounded() && (n < key.Min || n > key.Max) {
		d.report(path, "out of range; expected %s", expectedText(v.Type(), key))
	}
	if len(key.OneOf) == 0 {
		return
	}
	for _, value := range stringValues(v) {
		if !slices.Contains(key.OneOf, value) {
			d.report(path, "%q is not allowed; expected %s", value, expectedText(v.Type(), key))
		}
	}
}

// numericValue returns the value of a number, a duration or a size.
func numericValue(v reflect.Value) (float64, bool) {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int()), true
	case reflect.Float64:
		return v.Float(), true
	}
	return 0, false
}

// stringValues returns the strings in v, which is a string or a list.
func stringValues(v reflect.Value) []string {
	if v.Kind() == reflect.Slice {
		return v.Interface().([]string)
	}
	return []string{v.String()}
}

// expectedText describes the values that key accepts.
func expectedText(t reflect.Type, key *Key) string {
	text := typeText(t)
	if len(key.OneOf) > 0 {
		text += " out of " + strings.Join(key.OneOf, ", ")
	}
	if key.bounded() {
		text += fmt.Sprintf(" from %s to %s", boundText(t, key.Min), boundText(t, key.Max))
	}
	return text
}

// typeText describes the values of type t in messages and on the reference page.
func typeText(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return `a duration such as "250ms"`
	case reflect.TypeFor[Size]():
		return `a size such as "32MiB"`
	}
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list of strings"
	}
	return "a string"
}

// boundText formats a bound of a key of type t.
func boundText(t reflect.Type, n float64) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return Duration(n).Std().String()
	case reflect.TypeFor[Size]():
		return Size(n).String()
	}
	return fmt.Sprintf("%g", n)
}

// describeValue describes a TOML value in messages.
func describeValue(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%.40q", v)
	case bool, int64, float64:
		return fmt.Sprint(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
