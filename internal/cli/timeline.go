package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"currantpulley/internal/timeline"
)

const htmlFileMode = 0o644

// timelineFlags are the flags of timeline.
type timelineFlags struct {
	daemon   adminClient
	request  string
	version  uint64
	vm       string
	upstream string
	kinds    []string
	since    time.Duration
	limit    int
	page     string
	logs     []string
}

// pageReport is the JSON output if an HTML page was written.
type pageReport struct {
	Page   string `json:"page"`
	Events int    `json:"events"`
}

func addTimeline(a *App) {
	f := &timelineFlags{}
	cmd := a.command("timeline", "Show the events of all daemons as one timeline; exit code 3 if some did not answer.",
		func(ctx context.Context) error { return a.timeline(ctx, f) })
	addAdminFlag(cmd, &f.daemon)
	cmd.Flag("request", "Only events of this request.").StringVar(&f.request)
	cmd.Flag("config-version", "Only events of this configuration version.").Uint64Var(&f.version)
	cmd.Flag("vm", "Only events of this VM or that refer to it.").StringVar(&f.vm)
	cmd.Flag("upstream", "Only events that refer to this upstream.").StringVar(&f.upstream)
	cmd.Flag("kind", "Only events with this name or number; may be repeated.").StringsVar(&f.kinds)
	cmd.Flag("since", "Only events of this period until now.").Default("1h").DurationVar(&f.since)
	cmd.Flag("limit", "Largest number of events per VM; the newest are shown.").Default("500").IntVar(&f.limit)
	cmd.Flag("log", "Read this log file of one or more daemons instead of querying them; may be repeated.").ExistingFilesVar(&f.logs)
	cmd.Flag("html", "Write a self-contained HTML page to this file.").StringVar(&f.page)
}

// query returns the query string of the request to the daemon.
func (f *timelineFlags) query() string {
	q := url.Values{"format": {timeline.FormatJSON}, "since": {f.since.String()}, "limit": {strconv.Itoa(f.limit)}}
	for key, value := range map[string]string{"request": f.request, "vm": f.vm, "upstream": f.upstream} {
		if value != "" {
			q.Set(key, value)
		}
	}
	if f.version > 0 {
		q.Set("version", strconv.FormatUint(f.version, 10))
	}
	for _, kind := range f.kinds {
		q.Add("kind", kind)
	}
	return q.Encode()
}

func (a *App) timeline(ctx context.Context, f *timelineFlags) error {
	if len(f.logs) > 0 {
		return a.timelineFromLogs(f)
	}
	var t timeline.Timeline
	if err := f.daemon.call(ctx, http.MethodGet, "/admin/timeline?"+f.query(), nil, &t); err != nil {
		return err
	}
	if err := a.showTimeline(t, f.page); err != nil {
		return err
	}
	if len(t.Missing) > 0 {
		return unreachable(fmt.Errorf("%d VMs did not answer", len(t.Missing)))
	}
	return nil
}

// timelineFromLogs shows the events in log files. --since does not apply.
func (a *App) timelineFromLogs(f *timelineFlags) error {
	log, err := readLogs(f.logs)
	if err != nil {
		return usage(err)
	}
	return a.showTimeline(log.Timeline(timeline.Filter{
		Request: f.request, Version: f.version, VM: f.vm, Upstream: f.upstream, Kinds: f.kinds, Limit: f.limit,
	}), f.page)
}

// showTimeline prints t or, if page is set, writes it to that file as HTML.
func (a *App) showTimeline(t timeline.Timeline, page string) error {
	if page != "" {
		if err := writePage(t, page); err != nil {
			return err
		}
		return a.printResult(pageReport{page, len(t.Entries)}, fmt.Sprintf("%d events in %s", len(t.Entries), page))
	}
	var text bytes.Buffer
	if err := timeline.WriteText(&text, t); err != nil {
		return err
	}
	return a.printResult(t, strings.TrimRight(text.String(), "\n"))
}

func writePage(t timeline.Timeline, path string) error {
	var page bytes.Buffer
	if err := timeline.WriteHTML(&page, t); err != nil {
		return fmt.Errorf("render the page: %w", err)
	}
	if err := os.WriteFile(path, page.Bytes(), htmlFileMode); err != nil {
		return usage(fmt.Errorf("write the page: %w", err))
	}
	return nil
}
