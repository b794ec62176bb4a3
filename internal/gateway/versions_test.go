package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// versionedReplica streams two events that name its software version. The first
// response breaks off after the first event.
func versionedReplica(t *testing.T, software string) *replica {
	t.Helper()
	return newReplica(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "1" {
			_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", software)
			return
		}
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", software)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// startVersions is start with one replica for each software version.
func startVersions(t *testing.T, versions ...string) *fixture {
	t.Helper()
	replicas := make([]*replica, len(versions))
	for i, software := range versions {
		replicas[i] = versionedReplica(t, software)
	}
	f := start(t, replicas...)
	for i, software := range versions {
		f.watcher.PutUpstream(&catalog.Upstream{
			ID: fmt.Sprint("r", i), Service: "s", Software: software, Address: strings.TrimPrefix(replicas[i].URL, "http://"), Slots: 8,
		})
	}
	return f
}

// streamOnce sends a request for a resumable stream and returns the software
// versions of the events that came, and whether the response was complete.
func (f *fixture) streamOnce(t *testing.T, id string) (software []string, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.address+"/resumable/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{"Id": {id}, "Key": {"k"}}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	for line := range strings.SplitSeq(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			software = append(software, value)
		}
	}
	return software, err == nil && res.StatusCode == http.StatusOK
}

// Guards against a stream that is resumed inside one response at another software
// version than the one that began it.
func TestBrokenStreamIsResumedOnlyAtItsSoftwareVersion(t *testing.T) {
	const streams = 20
	for name, tc := range map[string]struct {
		versions []string
		complete int
	}{
		"another replica of the version": {[]string{"v1", "v2", "v1", "v2"}, streams},
		"no other replica":               {[]string{"v1", "v2"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := startVersions(t, tc.versions...)
			mixed, complete := 0, 0
			for i := range streams {
				software, whole := f.streamOnce(t, fmt.Sprint("id-", i))
				if len(software) == 2 && software[0] != software[1] {
					mixed++
				}
				if whole {
					complete++
				}
			}
			if mixed > 0 || complete != tc.complete {
				t.Errorf("of %d streams, %d mixed two versions and %d were completed, want 0 and %d", streams, mixed, complete, tc.complete)
			}
		})
	}
}

// fixedOrigins answers each question with the same build and error.
type fixedOrigins struct {
	build catalog.Build
	err   error
}

func (fixedOrigins) RecordBuild(string, catalog.Build) {}

func (o fixedOrigins) FindBuild(_ context.Context, attempt string, services []string, window time.Duration) (catalog.Build, error) {
	if attempt != "first" || !slices.Equal(services, []string{"s"}) || window != time.Second {
		return 0, fmt.Errorf("asked for %q, %q, %v", attempt, services, window)
	}
	return o.build, o.err
}

// A stream that is taken up must go on at the build that began it, or be refused
// before any upstream is asked.
func TestTakenUpStreamGoesOnOnlyWhereItBegan(t *testing.T) {
	v1, v2 := catalog.BuildOf("s", "v1"), catalog.BuildOf("s", "v2")
	for name, tc := range map[string]struct {
		origins  fixedOrigins
		versions []string
		status   int
		software string
	}{
		"first version":  {fixedOrigins{build: v1}, []string{"v1", "v2"}, http.StatusOK, "v1"},
		"second version": {fixedOrigins{build: v2}, []string{"v1", "v2"}, http.StatusOK, "v2"},
		"version gone":   {fixedOrigins{build: v2}, []string{"v1", "v1"}, http.StatusServiceUnavailable, ""},
		"not known":      {fixedOrigins{err: errors.New("an owner did not answer")}, []string{"v1", "v1"}, http.StatusServiceUnavailable, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := startVersions(t, tc.versions...)
			f.origins = tc.origins
			f.serve(t, io.Discard)
			res, body, err := f.post(t, "/resumable/", "Id", "second", "First-Attempt", "first", "Last", "1", "After", "1")
			if err != nil || res.StatusCode != tc.status {
				t.Fatalf("%v %q %v, want status %d", res, body, err, tc.status)
			}
			if tc.software != "" && body != "id: 2\ndata: "+tc.software+"\n\n" {
				t.Errorf("body %q, want version %s", body, tc.software)
			}
			if tc.software == "" && res.Header.Get("Retry-After") == "" {
				t.Error("refused without a time to retry")
			}
		})
	}
}
