// Package cli implements the command-line tool for operators. Each command has
// its own file with a function that adds it to the application; the variable
// commands lists these functions.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"currantpulley/internal/config"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitRefused     = 1 // invalid or refused
	ExitUsage       = 2 // wrong usage
	ExitUnreachable = 3 // the platform or a daemon is unreachable
)

const programName = "currantpulley"

const programHelp = `Validates, compares and publishes configurations and shows the state of daemons.

Exit codes: 0 success, 1 invalid or refused, 2 wrong usage, 3 the platform or a daemon is unreachable.`

// commands lists the functions that add the commands.
var commands = []func(*App){
	addCheck,
	addDiff,
	addPublish,
	addStatus,
	addExplain,
	addExplainRoute,
	addDrain,
	addTimeline,
}

// App is the command-line application.
type App struct {
	kingpin *kingpin.Application
	stdout  io.Writer
	stderr  io.Writer
	json    bool
	run     map[string]func(context.Context) error
}

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// refused marks err as a refusal or an invalid input.
func refused(err error) error { return &exitError{ExitRefused, err} }

// usage marks err as wrong usage.
func usage(err error) error { return &exitError{ExitUsage, err} }

// unreachable marks err as caused by an unreachable service or daemon.
func unreachable(err error) error { return &exitError{ExitUnreachable, err} }

// New returns an App with all commands.
func New(stdout, stderr io.Writer) *App {
	a := &App{
		kingpin: kingpin.New(programName, programHelp),
		stdout:  stdout,
		stderr:  stderr,
		run:     make(map[string]func(context.Context) error),
	}
	a.kingpin.UsageWriter(stdout).ErrorWriter(stderr)
	a.kingpin.HelpFlag.Short('h')
	a.kingpin.Flag("json", "Print JSON.").BoolVar(&a.json)
	for _, add := range commands {
		add(a)
	}
	return a
}

// command adds a command that is executed by run.
func (a *App) command(name, help string, run func(context.Context) error) *kingpin.CmdClause {
	a.run[name] = run
	return a.kingpin.Command(name, help)
}

// Run executes the command in args and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	command, err := a.kingpin.Parse(args)
	if err != nil {
		return a.reportError(usage(err))
	}
	if err := a.run[command](ctx); err != nil {
		return a.reportError(err)
	}
	return ExitOK
}

// errReported is a refusal whose result was already printed as JSON.
var errReported = errors.New("refused")

// refuse marks err as a refusal. With --json it returns errReported instead,
// because the result was already printed.
func (a *App) refuse(err error) error {
	if a.json {
		return refused(errReported)
	}
	return refused(err)
}

// failureReport is the JSON output for an error.
type failureReport struct {
	Error    string           `json:"error"`
	Exit     int              `json:"exit"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// reportError prints err and returns its exit code.
func (a *App) reportError(err error) int {
	report := failureReport{Error: err.Error(), Exit: ExitRefused}
	var ee *exitError
	if errors.As(err, &ee) {
		report.Exit = ee.code
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		report.Problems = problems
	}
	switch {
	case errors.Is(err, errReported):
	case a.json:
		_ = a.printJSON(report)
	default:
		_, _ = fmt.Fprintf(a.stderr, "%s: %v\n", programName, err)
	}
	return report.Exit
}

func (a *App) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printResult prints value with --json, and text otherwise.
func (a *App) printResult(value any, text string) error {
	if a.json {
		return a.printJSON(value)
	}
	_, err := fmt.Fprintln(a.stdout, text)
	return err
}
