package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/decide"
	"currantpulley/internal/prompt"
)

func addExplain(a *App) {
	var daemon adminClient
	var workspace, path, file string
	var logs []string
	var maxWait time.Duration
	cmd := a.command("explain", "Explain how a request would be routed or, with --log, why a past request ended as it did.", func(ctx context.Context) error {
		if len(logs) > 0 {
			return a.explainFromLogs(logs, file)
		}
		if workspace == "" {
			return usage(errors.New("--workspace is missing, expected the workspace of the request"))
		}
		body, err := os.ReadFile(file)
		if err != nil {
			return usage(fmt.Errorf("read request: %w", err))
		}
		if !json.Valid(body) {
			return usage(fmt.Errorf("%s is not valid JSON", file))
		}
		q, err := json.Marshal(admin.ExplainRequest{Workspace: workspace, Path: path, Body: body, MaxWait: maxWait})
		if err != nil {
			return usage(err)
		}
		var e decide.Explanation
		if err := daemon.call(ctx, http.MethodPost, admin.PathExplain, q, &e); err != nil {
			return err
		}
		return a.printResult(e, explanationText(&e))
	})
	addAdminFlag(cmd, &daemon)
	cmd.Flag("workspace", "Workspace of the request.").StringVar(&workspace)
	cmd.Flag("wait", "How long the caller waits for the first token.").DurationVar(&maxWait)
	cmd.Flag("log", "Log file of one or more daemons; may be repeated.").ExistingFilesVar(&logs)
	cmd.Flag("path", "Path of the request.").Default(prompt.PathChatCompletions).StringVar(&path)
	cmd.Arg("request", "File with the JSON body of the request; with --log, the request ID.").Required().StringVar(&file)
}

// explanationText formats a daemon's explanation of its choice.
func explanationText(e *decide.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "model %s, workspace %s, %s work, prefix level %d with %.1f%% of recent requests\n",
		e.Model, e.Workspace, e.Class, e.Level, 100*e.Share)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tOWNER\tCACHED\tTTFT\tLOAD\tWINDOW\tEXCLUDED")
	for _, c := range e.Candidates {
		owner := "-"
		if c.Owner >= 0 {
			owner = fmt.Sprint(c.Owner + 1)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%.1f\t%.1f\t%s\n",
			c.Upstream, owner, c.CachedTokens, c.Expected.Round(time.Millisecond), c.Load, c.Window, c.Excluded)
	}
	_ = w.Flush()
	if e.Refusal != "" {
		fmt.Fprintf(&b, "refused: %s, retry after %v (%s)", e.Refusal, e.RetryAfter.Round(time.Millisecond), e.Reason)
		return b.String()
	}
	fmt.Fprintf(&b, "picked %s: %s", e.Picked, e.Reason)
	if e.Wait > 0 {
		fmt.Fprintf(&b, ", after about %v in this daemon's queue", e.Wait.Round(time.Millisecond))
	}
	return b.String()
}
