package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a configuration, with its position.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 1-based; 0: the file as a whole
	Key     string `json:"key"`  // dotted; empty: the file as a whole
	Message string `json:"message"`
}

// String returns the problem in the form FILE:LINE: KEY: MESSAGE.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is a list of problems, usable as an error.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems in order of file, line and key, each once.
func (ps Problems) sorted() Problems {
	slices.SortFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(ps)
}
