package config

import "maps"

// removedKey is the key with which an overlay removes an item of the base.
const removedKey = "removed"

// merged is the base with one overlay applied. Each value keeps its position in
// the file that it came from.
type merged struct {
	values    map[string]any
	positions map[string]position
	overlay   string // file name, reported for keys that no file has
}

// merge applies overlay to base, table by table and field by field.
func merge(base, overlay *document) (*merged, Problems) {
	m := &merged{
		values:    cloneTable(base.values),
		positions: maps.Clone(base.positions),
		overlay:   overlay.file,
	}
	maps.Copy(m.positions, overlay.positions)
	mergeTable(m.values, overlay.values)
	return m, m.removeItems(base, overlay)
}

func cloneTable(t map[string]any) map[string]any {
	out := make(map[string]any, len(t))
	for k, v := range t {
		if sub, ok := v.(map[string]any); ok {
			v = cloneTable(sub)
		}
		out[k] = v
	}
	return out
}

// mergeTable adds the values of from to the table into. Tables are merged
// recursively, other values are replaced.
func mergeTable(into, from map[string]any) {
	for k, v := range from {
		sub, isTable := v.(map[string]any)
		old, wasTable := into[k].(map[string]any)
		switch {
		case isTable && wasTable:
			mergeTable(old, sub)
		case isTable:
			into[k] = cloneTable(sub)
		default:
			into[k] = v
		}
	}
}

// removeItems deletes the items that the overlay marks as removed.
func (m *merged) removeItems(base, overlay *document) Problems {
	var problems Problems
	for _, table := range itemTables {
		items, _ := overlay.values[table].(map[string]any)
		for name, item := range items {
			fields, _ := item.(map[string]any)
			removed, present := fields[removedKey]
			if !present {
				continue
			}
			path := []string{table, name, removedKey}
			if removed != true {
				problems = append(problems, m.problem(path, "expected true; leave the key out to keep the item"))
			}
			if len(fields) > 1 {
				problems = append(problems, m.problem(path, "a removed item can't have other keys"))
			}
			if baseItems, _ := base.values[table].(map[string]any); baseItems[name] == nil {
				problems = append(problems, m.problem(path, "the base has no such item to remove"))
			}
			if mergedItems, ok := m.values[table].(map[string]any); ok {
				delete(mergedItems, name)
			}
		}
	}
	return problems
}

// problem returns message with the position of path, or with that of the
// nearest enclosing table that a file contains.
func (m *merged) problem(path []string, message string) Problem {
	for n := len(path); n > 0; n-- {
		if at, ok := m.positions[joinPath(path[:n])]; ok {
			return Problem{File: at.file, Line: at.line, Key: dotted(path), Message: message}
		}
	}
	return Problem{File: m.overlay, Key: dotted(path), Message: message}
}
