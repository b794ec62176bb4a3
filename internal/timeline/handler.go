package timeline

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Formats in which the timeline is served.
const (
	FormatText = "text"
	FormatJSON = "json"
	FormatHTML = "html"
)

// Handler returns the HTTP handler that serves the timeline of all VMs. The query
// parameters are request, version, vm, upstream, kind (may be repeated), since (a
// duration such as 10m or a time in RFC 3339), limit (entries per VM) and format
// (text by default).
func Handler(c *Collector) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := ParseFilter(r.URL.Query(), time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t := c.Collect(r.Context(), f)
		switch r.URL.Query().Get("format") {
		case FormatText, "":
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			err = WriteText(w, t)
		case FormatJSON:
			w.Header().Set("Content-Type", "application/json")
			err = WriteJSON(w, t)
		case FormatHTML:
			w.Header().Set("Content-Type", "text/html; charset=utf-8")
			err = WriteHTML(w, t)
		default:
			http.Error(w, "format must be text, json or html", http.StatusBadRequest)
		}
		_ = err // writing fails only if the client disconnected
	})
}

// ParseFilter parses the filter parameters of a query. A since that is a duration
// counts back from now.
func ParseFilter(q url.Values, now time.Time) (Filter, error) {
	f := Filter{Request: q.Get("request"), VM: q.Get("vm"), Upstream: q.Get("upstream"), Kinds: q["kind"]}
	var err error
	if v := q.Get("version"); v != "" {
		if f.Version, err = strconv.ParseUint(v, 10, 64); err != nil {
			return f, fmt.Errorf("version %q is not a number", v)
		}
	}
	if v := q.Get("limit"); v != "" {
		if f.Limit, err = strconv.Atoi(v); err != nil {
			return f, fmt.Errorf("limit %q is not a number", v)
		}
	}
	if v := q.Get("since"); v != "" {
		if f.Since, err = parseSince(v, now); err != nil {
			return f, err
		}
	}
	return f, nil
}

func parseSince(v string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(v); err == nil {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		return t, fmt.Errorf("since %q is neither a duration nor a time in RFC 3339", v)
	}
	return t, nil
}
