package config

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// tablesPerChunk is the number of tables that are decoded at a time. The
// library's check for repeated tables is quadratic in their number: 23,000
// tables took 3 s in one call and 0.5 s in chunks.
const tablesPerChunk = 256

// header is the position and key of a table header, such as [workspaces.depot].
type header struct {
	offset int    // start of its line
	key    string // joined by pathSeparator
}

// unmarshal decodes TOML with the same result as toml.Unmarshal. It decodes in
// chunks if that provably gives the same values, and otherwise in one call.
func unmarshal(data []byte, out *map[string]any) error {
	if headers := tableHeaders(data); len(headers) > tablesPerChunk {
		if values := unmarshalChunks(data, headers); values != nil {
			*out = values
			return nil
		}
	}
	return toml.Unmarshal(data, out)
}

// tableHeaders returns the table headers in order. It returns nil if data can't
// be decoded in chunks: a header is repeated, belongs to an array of tables or
// has more than two parts, or data is malformed.
func tableHeaders(data []byte) []header {
	var parser unstable.Parser
	parser.Reset(data)
	var headers []header
	seen := make(map[string]bool)
	for parser.NextExpression() {
		node := parser.Expression()
		if node.Kind == unstable.ArrayTable {
			return nil
		}
		if node.Kind != unstable.Table {
			continue
		}
		h, parts := readHeader(data, node)
		if parts > 2 || seen[h.key] {
			return nil
		}
		seen[h.key] = true
		headers = append(headers, h)
	}
	if parser.Error() != nil {
		return nil
	}
	return headers
}

// readHeader returns the header in node and the number of parts of its key.
func readHeader(data []byte, node *unstable.Node) (h header, parts int) {
	var names []string
	for key := node.Key(); key.Next(); {
		if len(names) == 0 {
			h.offset = bytes.LastIndexByte(data[:key.Node().Raw.Offset], '\n') + 1
		}
		names = append(names, string(key.Node().Data))
	}
	h.key = strings.Join(names, pathSeparator)
	return h, len(names)
}

// unmarshalChunks decodes data in chunks that begin at every tablesPerChunk-th
// header. It returns nil if a chunk is invalid or chunks define the same key.
func unmarshalChunks(data []byte, headers []header) map[string]any {
	var values map[string]any
	if toml.Unmarshal(data[:headers[0].offset], &values) != nil {
		return nil
	}
	if values == nil {
		values = make(map[string]any)
	}
	tables := make(map[string]any)
	for from := 0; from < len(headers); from += tablesPerChunk {
		end := len(data)
		if next := from + tablesPerChunk; next < len(headers) {
			end = headers[next].offset
		}
		var chunk map[string]any
		if toml.Unmarshal(data[headers[from].offset:end], &chunk) != nil || !mergeChunk(tables, chunk) {
			return nil
		}
	}
	for name, table := range tables {
		if _, ok := values[name]; ok {
			return nil // a key before the first header can't be extended by one
		}
		values[name] = table
	}
	return values
}

// mergeChunk adds the tables of chunk to all, item by item. It returns false
// if an item is in both.
func mergeChunk(all, chunk map[string]any) bool {
	for name, value := range chunk {
		old, ok := all[name]
		if !ok {
			all[name] = value
			continue
		}
		items, ok := old.(map[string]any)
		chunkItems, isTable := value.(map[string]any)
		if !ok || !isTable {
			return false
		}
		for item, v := range chunkItems {
			if _, ok := items[item]; ok {
				return false
			}
			items[item] = v
		}
	}
	return true
}
