package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"currantpulley/internal/admin"
)

// addExplainRoute adds the command that asks a daemon on a platform where a request would
// go now.
func addExplainRoute(a *App) {
	var daemon adminClient
	var q admin.RouteRequest
	var prompt admin.RoutePrompt
	var parts string
	cmd := a.command("explain-route", "Explain where a request would go now on a platform, and why, without sending it.", func(ctx context.Context) error {
		var err error
		if prompt.Parts, err = parseParts(parts); err != nil {
			return usage(err)
		}
		if prompt.Model != "" {
			q.Prompt = &prompt
		}
		body, err := json.Marshal(q)
		if err != nil {
			return usage(err)
		}
		var x admin.RouteExplanation
		if err := daemon.call(ctx, http.MethodPost, admin.PathRoute, body, &x); err != nil {
			return err
		}
		return a.printResult(x, routeText(&x))
	})
	addAdminFlag(cmd, &daemon)
	cmd.Flag("host", "Host of the request.").Required().StringVar(&q.Host)
	cmd.Flag("path", "Path of the request.").Required().StringVar(&q.Path)
	cmd.Flag("id", "ID of the request, which decides what goes by its hash.").StringVar(&q.ID)
	cmd.Flag("workspace", "Workspace of the request.").StringVar(&q.Workspace)
	cmd.Flag("wait", "How long the caller waits; without it, the route's timeout.").DurationVar(&q.MaxWait)
	cmd.Flag("body-bytes", "Size of the request's body.").IntVar(&q.BodyBytes)
	cmd.Flag("model", "Model of the prompt; without it, the request is a plain call.").StringVar(&prompt.Model)
	cmd.Flag("tokens", "Tokens of the prompt.").IntVar(&prompt.Tokens)
	cmd.Flag("output", "Tokens expected in the answer.").IntVar(&prompt.Output)
	cmd.Flag("parts", "Parts of the prompt in order, as ID:TOKENS,ID:TOKENS.").StringVar(&parts)
}

// errMalformedPart is the error of a part of a prompt that isn't ID:TOKENS.
var errMalformedPart = errors.New("expected ID:TOKENS with a number of tokens")

// parseParts parses the parts of a prompt.
func parseParts(text string) ([]admin.RoutePart, error) {
	if text == "" {
		return nil, nil
	}
	var out []admin.RoutePart
	for _, part := range strings.Split(text, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if id == "" || err != nil || n <= 0 {
			return nil, fmt.Errorf("part %q: %w", part, errMalformedPart)
		}
		out = append(out, admin.RoutePart{ID: id, Tokens: n})
	}
	return out, nil
}

// routeText formats a daemon's explanation.
func routeText(x *admin.RouteExplanation) string {
	var b strings.Builder
	if x.Route != "" {
		fmt.Fprintf(&b, "route %s, service %s, urgency %d, configuration %d\n", x.Route, x.Service, x.Urgency, x.Version)
	}
	if x.Share != "" {
		fmt.Fprintf(&b, "workspace %s is %s\n", x.Workspace, x.Share)
	}
	if x.Quota != "" {
		fmt.Fprintf(&b, "workspace %s has %s\n", x.Workspace, x.Quota)
	}
	writeCandidates(&b, x.Candidates)
	switch {
	case x.Refusal != nil:
		fmt.Fprintf(&b, "refused: %s, %s", x.Refusal.Code, x.Refusal.Message)
		if x.Refusal.Cause != "" {
			fmt.Fprintf(&b, " (%s)", x.Refusal.Cause)
		}
		if x.Refusal.RetryAfter > 0 {
			fmt.Fprintf(&b, "; retry after %v", millis(x.Refusal.RetryAfter))
		}
	case x.Left != "":
		fmt.Fprintf(&b, "picked %s, which leaves the data centre: %s", x.Picked, x.Left)
	default:
		fmt.Fprintf(&b, "picked %s", x.Picked)
	}
	if x.Fetch != "" && x.Refusal == nil {
		fmt.Fprintf(&b, ", which fetches parts from %s", x.Fetch)
	}
	return b.String()
}

// writeCandidates writes the table of candidates.
func writeCandidates(b *strings.Builder, candidates []admin.RouteCandidate) {
	if len(candidates) == 0 {
		return
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tSCORE\tWAIT\tAHEAD\tCROSSING\tAFFINITY\tOWNER\tHELD\tFETCHED\tFIRST\tWHOLE\tLATE\tBAR")
	for _, c := range candidates {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\t%v\t%v\t%s\t%d\t%d\t%s\t%s\t%v\t%s\n",
			c.Upstream, c.DataCentre, millis(c.Score), millis(c.Wait), millis(c.Ahead), millis(c.Crossing), millis(c.Affinity),
			mark(c.Owner), c.Held, c.Fetched, expectation(c.First, c.Learnt), expectation(c.Whole, c.Learnt), millis(c.Late), barOf(&c))
	}
	_ = w.Flush() // writing to a builder can't fail
}

// barOf returns why a candidate may not get the request, or waits for it.
func barOf(c *admin.RouteCandidate) string {
	if c.Bar == "" && c.Closed > 0 {
		return fmt.Sprintf("closed for %v", millis(c.Closed))
	}
	return c.Bar
}

// expectation formats an expected time, with a question mark if it is a guess.
func expectation(d time.Duration, learnt bool) string {
	if learnt {
		return millis(d).String()
	}
	return millis(d).String() + "?"
}

func mark(yes bool) string {
	if yes {
		return "yes"
	}
	return "-"
}

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
