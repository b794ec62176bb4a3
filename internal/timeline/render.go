package timeline

import (
	_ "embed" // for the page's template
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// timeFormat is the format of times in the text output.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes one line per entry, oldest first, and then the VMs that did not
// answer or omitted entries.
func WriteText(w io.Writer, t Timeline) error {
	var b strings.Builder
	for _, e := range t.Entries {
		fmt.Fprintf(&b, "%s  %-5s  %-16s  %d %s%s\n",
			e.Timestamp.Time().UTC().Format(timeFormat), e.Level, e.VM, e.Number, e.Name, fields(e))
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "no answer from %s: %s\n", m.VM, m.Error)
	}
	for _, vm := range t.Truncated {
		fmt.Fprintf(&b, "%s omitted older events\n", vm)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// fields returns the non-empty fields of an entry, each as " key=value".
func fields(e Entry) string {
	var b strings.Builder
	add := func(key, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%q", key, value)
		}
	}
	add("request", e.Request)
	add("workspace", e.Workspace)
	add("upstream", e.Upstream)
	add("peer", e.Peer)
	if e.Version > 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	add("step", e.Step)
	add("detail", e.Detail)
	add("error", e.Error)
	return b.String()
}

// WriteJSON writes t as one JSON object.
func WriteJSON(w io.Writer, t Timeline) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// lane is one VM's column on the page.
type lane struct {
	VM      string
	Missing string // error if the VM did not answer, else empty
}

// row is one entry on the page.
type row struct {
	Entry
	Lane   int    // column of the VM, from 0
	Stamp  string // time of day, UTC
	Gap    string // time since the previous row if at least longGap, else empty
	Fields string
}

// pageData is the data of the page's template.
type pageData struct {
	Lanes     []lane
	Rows      []row
	Truncated string // VMs that omitted older entries
	Generated string // time when the page was generated, UTC
}

// longGap is the shortest pause between two events that the page marks.
const longGap = 2 * time.Second

// WriteHTML writes t as a self-contained HTML page with a lane for each VM.
func WriteHTML(w io.Writer, t Timeline) error {
	data := pageData{Truncated: strings.Join(t.Truncated, ", "), Generated: time.Now().UTC().Format(time.RFC3339)}
	lanes := make(map[string]int)
	for _, vm := range t.VMs {
		lanes[vm] = len(data.Lanes)
		data.Lanes = append(data.Lanes, lane{VM: vm})
	}
	for _, m := range t.Missing {
		data.Lanes = append(data.Lanes, lane{VM: m.VM, Missing: m.Error})
	}
	for i, e := range t.Entries {
		r := row{Entry: e, Lane: lanes[e.VM], Stamp: e.Timestamp.Time().UTC().Format("15:04:05.000"), Fields: fields(e)}
		if i > 0 {
			if gap := e.Timestamp.Time().Sub(t.Entries[i-1].Timestamp.Time()); gap >= longGap {
				r.Gap = gap.Round(100 * time.Millisecond).String()
			}
		}
		data.Rows = append(data.Rows, r)
	}
	return page.Execute(w, data)
}
