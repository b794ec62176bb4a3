package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	maxFileBytes = 8 << 20
	maxKeyDepth  = 16
)

// pathSeparator joins the parts of a key in the keys of position maps. It can't
// occur in a valid name.
const pathSeparator = "\x00"

func joinPath(parts []string) string { return strings.Join(parts, pathSeparator) }

// dotted joins the parts of a key in the form shown to operators.
func dotted(parts []string) string { return strings.Join(parts, ".") }

// position is the file and line of a key.
type position struct {
	file string
	line int
}

// document is one parsed file: its values and the position of each key.
type document struct {
	file      string
	values    map[string]any
	positions map[string]position
}

// parseDocument parses one TOML file.
func parseDocument(f File) (*document, Problems) {
	d := &document{file: f.Name, positions: make(map[string]position)}
	if len(f.Data) > maxFileBytes {
		return nil, Problems{{File: f.Name, Message: fmt.Sprintf("the file has %d bytes; expected at most %d", len(f.Data), maxFileBytes)}}
	}
	if !utf8.Valid(f.Data) {
		return nil, Problems{{File: f.Name, Message: "expected UTF-8 text"}}
	}
	if err := unmarshal(f.Data, &d.values); err != nil {
		return nil, Problems{syntaxProblem(f.Name, err)}
	}
	if d.values == nil {
		d.values = make(map[string]any)
	}
	d.locate(f.Data)
	return d, nil
}

// syntaxProblem converts an error of the TOML decoder.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: "expected TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		p.Line, _ = de.Position()
		p.Key = dotted(de.Key())
	}
	return p
}

// lineIndex maps byte offsets to line numbers.
type lineIndex []int // offsets of newlines

// newLineIndex returns the index of data.
func newLineIndex(data []byte) lineIndex {
	var ix lineIndex
	for i, c := range data {
		if c == '\n' {
			ix = append(ix, i)
		}
	}
	return ix
}

// line returns the 1-based number of the line that contains offset.
func (ix lineIndex) line(offset int) int {
	i, _ := slices.BinarySearch(ix, offset)
	return i + 1
}

// locate records the position of every key. The library's decoder returns
// positions only for errors, so data is parsed a second time.
func (d *document) locate(data []byte) {
	lines := newLineIndex(data)
	var parser unstable.Parser
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = d.locateKey(nil, node.Key(), lines)
		case unstable.KeyValue:
			d.locateValue(table, node, lines)
		}
	}
}

// locateValue records the positions of a key below table and, if its value is an
// inline table, of the keys in it.
func (d *document) locateValue(table []string, node *unstable.Node, lines lineIndex) {
	path := d.locateKey(table, node.Key(), lines)
	value := node.Value()
	if value.Kind != unstable.InlineTable || len(path) > maxKeyDepth {
		return
	}
	children := value.Children()
	for children.Next() {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			d.locateValue(path, child, lines)
		}
	}
}

// locateKey records the position of each part of a dotted key below table and
// returns the complete path.
func (d *document) locateKey(table []string, key unstable.Iterator, lines lineIndex) []string {
	path := slices.Clone(table)
	for key.Next() {
		node := key.Node()
		path = append(path, string(node.Data))
		if len(path) > maxKeyDepth {
			continue
		}
		name := joinPath(path)
		if _, seen := d.positions[name]; !seen {
			d.positions[name] = position{d.file, lines.line(int(node.Raw.Offset))}
		}
	}
	return path
}
