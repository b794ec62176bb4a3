package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	requestTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// adminClient sends requests to the admin listener of one daemon.
type adminClient struct{ url string }

// addAdminFlag adds the flag for the URL of a daemon's admin listener.
func addAdminFlag(cmd *kingpin.CmdClause, to *adminClient) {
	cmd.Flag("admin", "URL of a daemon's admin listener.").Default("http://127.0.0.1:9080").StringVar(&to.url)
}

// call sends one request and decodes the JSON response into out, unless out is
// nil.
func (a adminClient) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(a.url, "/")+path, bytes.NewReader(body))
	if err != nil {
		return usage(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return unreachable(fmt.Errorf("call the daemon: %w", err))
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return unreachable(fmt.Errorf("read the daemon's response: %w", err))
	}
	if res.StatusCode >= http.StatusBadRequest {
		return refused(fmt.Errorf("the daemon answered %s: %s", res.Status, strings.TrimSpace(string(data))))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return refused(fmt.Errorf("decode the daemon's response: %w", err))
	}
	return nil
}
