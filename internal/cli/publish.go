package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/config"
	"currantpulley/internal/control/publish"
)

const (
	publishTimeout     = time.Minute
	statusPollInterval = 200 * time.Millisecond
	statusTimeout      = time.Second
	maxListedChanges   = 20 // of the differences from the version that won a race
)

// publishCommand is the command publish with its flags.
type publishCommand struct {
	app     *App
	paths   []string
	log     string
	admin   string
	timeout time.Duration
	sub     publish.Submission

	progressMu sync.Mutex // serialises progress lines of the submitter and of watch
}

// publishReport is the JSON output of publish.
type publishReport struct {
	publish.Decision
	ElapsedSeconds float64 `json:"elapsed_seconds"`
}

func addPublish(a *App) {
	c := &publishCommand{app: a}
	cmd := a.command("publish", "Publish a base and its overlays, and wait until they are in force or refused.", c.run)
	cmd.Arg("files", "The base and the overlays.").Required().ExistingFilesVar(&c.paths)
	cmd.Flag("log", "URL of the platform's log.").Required().Envar("CURRANTPULLEY_LOG").StringVar(&c.log)
	cmd.Flag("admin", "URL of a daemon's admin listener, to show the progress per data centre.").StringVar(&c.admin)
	cmd.Flag("author", "Author of the version.").Envar("USER").StringVar(&c.sub.Author)
	cmd.Flag("override", "Allow a change that exceeds the configured limits.").BoolVar(&c.sub.Override)
	cmd.Flag("parent", "Version that the change is based on; default: the version in force.").Uint64Var(&c.sub.Parent)
	cmd.Flag("again", "Publish content again that was in force before and has been replaced.").BoolVar(&c.sub.Republish)
	cmd.Flag("timeout", "Time to wait for a decision.").Default(publishTimeout.String()).DurationVar(&c.timeout)
}

// run publishes the configuration and waits for the decision.
func (c *publishCommand) run(ctx context.Context) error {
	set, err := loadSet(c.paths)
	if err != nil {
		return err
	}
	c.sub.Set = set
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	stop := c.watch(ctx)
	d, err := publish.NewSubmitter(httplog.New(c.log, http.DefaultClient), c.progress).Submit(ctx, c.sub)
	stop()
	if err != nil {
		return submitError(err)
	}
	if c.app.json {
		if err := c.app.printJSON(publishReport{d, d.Elapsed.Seconds()}); err != nil {
			return err
		}
	}
	return c.reportDecision(d)
}

// progress prints a line to standard error, so that standard output contains
// only the result.
func (c *publishCommand) progress(text string) {
	if c.app.json {
		return
	}
	c.progressMu.Lock()
	defer c.progressMu.Unlock()
	_, _ = fmt.Fprintln(c.app.stderr, text)
}

// submitError adds the exit code to an error of Submit.
func submitError(err error) error {
	if errors.Is(err, publish.ErrHalted) {
		return refused(err)
	}
	return &exitError{ExitUnreachable, err}
}

// reportDecision prints the decision and returns a refusal as an error.
func (c *publishCommand) reportDecision(d publish.Decision) error {
	var text string
	switch {
	case d.Already && d.Winner != d.Candidate:
		text = fmt.Sprintf("version %d had this content and was replaced by version %d; publish with --again to restore it\n%s", d.Candidate, d.Winner, changesText(d.Changes))
	case d.Already:
		text = fmt.Sprintf("version %d is in force already", d.Candidate)
	case d.Result == publish.Committed:
		text = fmt.Sprintf("version %d in force after %.1fs", d.Candidate, d.Elapsed.Seconds())
	case d.Result == publish.Lost:
		text = fmt.Sprintf("refused because version %d came into force first; this version differs from it in:\n%s", d.Winner, changesText(d.Changes))
	default:
		text = "refused:\n" + refusalsText(d)
	}
	failed := d.Result != publish.Committed || d.Already && d.Winner != d.Candidate
	if failed {
		return c.app.refuse(errors.New(text))
	}
	if c.app.json {
		return nil
	}
	_, err := fmt.Fprintln(c.app.stdout, text)
	return err
}

func refusalsText(d publish.Decision) string {
	lines := make([]string, len(d.Refusals))
	for i, r := range d.Refusals {
		lines[i] = "  " + publish.FormatRefusal(r)
	}
	return strings.Join(lines, "\n")
}

// changesText formats at most maxListedChanges changes, one per line.
func changesText(changes []config.Change) string {
	lines := make([]string, 0, maxListedChanges+1)
	for i, ch := range changes {
		if i == maxListedChanges {
			lines = append(lines, fmt.Sprintf("  and %d more", len(changes)-maxListedChanges))
			break
		}
		lines = append(lines, "  "+ch.String())
	}
	return strings.Join(lines, "\n")
}

// watch prints the progress as reported by a daemon until the returned function
// is called.
func (c *publishCommand) watch(ctx context.Context) (stop func()) {
	if c.admin == "" || c.app.json {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.poll(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// poll prints the status of the daemon whenever it changes, until ctx is done.
func (c *publishCommand) poll(ctx context.Context) {
	printed := ""
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		if s, err := adminStatus(ctx, c.admin); err == nil {
			if text := statusLine(s); text != printed {
				printed = text
				c.progress(text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func adminStatus(ctx context.Context, admin string) (publish.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s publish.Status
	err := adminClient{admin}.call(ctx, http.MethodGet, publish.StatusPath, nil, &s)
	return s, err
}

// statusLine formats a daemon's status on one line.
func statusLine(s publish.Status) string {
	parts := make([]string, 0, len(s.Centres))
	for _, dc := range s.Centres {
		part := fmt.Sprintf("%s %d/%d", dc.DataCentre, dc.InForce, dc.Live)
		if s.Candidate != nil && s.Candidate.Coordinating {
			part += fmt.Sprintf(" (acked %d)", dc.Acked)
		}
		parts = append(parts, part)
	}
	text := fmt.Sprintf("%s: version %d in force at %s", s.VM, s.Version, strings.Join(parts, ", "))
	if s.Candidate != nil {
		text += fmt.Sprintf("; candidate %d is being validated", s.Candidate.Candidate)
	}
	return text
}
