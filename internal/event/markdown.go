package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every event has a number, which the logs carry as `event` and the time line shows. ")
	b.WriteString("Numbers are never used again for another event. ")
	b.WriteString("This page is generated: `go generate ./internal/event`.\n\n")
	b.WriteString("| number | name | level | what happened |\n| --- | --- | --- | --- |\n")
	for _, d := range Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", d.ID, d.Name, d.Level, strings.ReplaceAll(d.Text, "|", `\|`))
	}
	return b.String()
}
