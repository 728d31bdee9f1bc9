// Package cmds implements the command line of gypsumdemo; main calls Run.
package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/demo"
	"gypsumbeam.example/gypsumbeam/internal/loadsim"
	"gypsumbeam.example/gypsumbeam/internal/slopes"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/version"
)

// Exit codes of gypsumdemo.
const (
	ExitOK = 0
	// ExitBroken means that a promise was broken.
	ExitBroken = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitFailed means that the demo could not run and checked no promise.
	ExitFailed = 3
)

// arguments holds the command line arguments. Without a subcommand the demo runs.
type arguments struct {
	Slopes     *slopes.Args  `arg:"subcommand:slopes" help:"measure what entry hosts cost as a fleet grows"`
	Placement  *loadsim.Args `arg:"subcommand:placement" help:"play loads against the choice of targets, with what hosts know of each other"`
	Deployment string        `arg:"--deployment" default:"crested-thread" placeholder:"NAME" help:"crested-thread or halvorsen"`
	Duration   time.Duration `arg:"--duration" default:"20s" help:"how long callers send requests"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	Load       float64       `arg:"--load" default:"1" help:"multiple of the ordinary day's load"`
	JSON       string        `arg:"--json" placeholder:"FILE" help:"write the report as JSON, too; - is standard output, without the tables"`
	Log        bool          `arg:"--log" help:"write the entry hosts' logs to standard error"`
	LogOutput  string        `arg:"--log-output" placeholder:"LIST" help:"subsystems to log, with commas; needs --log"`
}

// Version returns the line that --version prints.
func (arguments) Version() string { return "gypsumdemo " + version.String() }

// Description returns the text that --help starts with.
func (arguments) Description() string {
	return "gypsumdemo runs a whole deployment in one process: a stand-in platform, targets, entry hosts and callers."
}

// Epilogue returns the text that --help ends with.
func (arguments) Epilogue() string {
	return `exit codes:
  0  no promise broke
  1  a promise broke
  2  wrong command line
  3  the demo could not run`
}

// Run runs gypsumdemo with args, which do not contain the program's name, and
// returns the exit code. It prints the report to stdout, and progress and errors to
// stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "gypsumdemo", Out: stderr}, &a)
	if err != nil {
		return printError(stderr, err, ExitUsage)
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		return printLine(stdout, a.Version())
	case err != nil:
		p.WriteUsage(stderr)
		return printError(stderr, err, ExitUsage)
	}
	if err := a.check(); err != nil {
		p.WriteUsage(stderr)
		return printError(stderr, err, ExitUsage)
	}
	if err := logflags.Setup(a.Log, a.LogOutput, stderr); err != nil {
		return printError(stderr, err, ExitUsage)
	}
	if a.Slopes != nil {
		return a.runSlopes(ctx, stdout, stderr)
	}
	if a.Placement != nil {
		return a.runPlacement(stdout, stderr)
	}
	return a.runDemo(ctx, stdout, stderr)
}

// runPlacement runs the subcommand placement.
func (a *arguments) runPlacement(stdout, stderr io.Writer) int {
	if err := a.Placement.Run(stdout); err != nil {
		return printError(stderr, err, ExitFailed)
	}
	return ExitOK
}

// runSlopes runs the subcommand slopes.
func (a *arguments) runSlopes(ctx context.Context, stdout, stderr io.Writer) int {
	a.Slopes.JSON = a.JSON
	if err := a.Slopes.Run(ctx, stdout); err != nil {
		return printError(stderr, err, ExitFailed)
	}
	return ExitOK
}

func (a *arguments) check() error {
	known := false
	for _, name := range demo.Deployments() {
		known = known || name == a.Deployment
	}
	switch {
	case !known:
		return errs.New("--deployment must be one of %s", strings.Join(demo.Deployments(), ", "))
	case a.Duration <= 0:
		return errs.New("--duration must be above zero")
	case !(a.Load > 0):
		return errs.New("--load must be above zero")
	default:
		return nil
	}
}

func (a *arguments) runDemo(ctx context.Context, stdout, stderr io.Writer) int {
	d, err := demo.New(demo.Config{
		Deployment: a.Deployment, Duration: a.Duration, Seed: a.Seed, LoadFactor: a.Load, Progress: stderr,
	})
	if err != nil {
		return printError(stderr, err, ExitFailed)
	}
	report, err := d.Run(ctx)
	if err != nil {
		return printError(stderr, err, ExitFailed)
	}
	if err := a.write(report, stdout); err != nil {
		return printError(stderr, err, ExitFailed)
	}
	return exitCode(report)
}

func exitCode(report *demo.Report) int {
	if report.Broken() {
		return ExitBroken
	}
	return ExitOK
}

// standardOutput is the file name that means standard output.
const standardOutput = "-"

// write prints the report and, with --json, writes it as JSON.
func (a *arguments) write(report *demo.Report, stdout io.Writer) error {
	if a.JSON != standardOutput {
		if err := report.Print(stdout); err != nil {
			return err
		}
	}
	if a.JSON == "" {
		return nil
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if a.JSON == standardOutput {
		_, err = stdout.Write(b)
		return err
	}
	const readableByAll = 0o644
	return os.WriteFile(a.JSON, b, readableByAll)
}

// printError prints err in one line and returns code.
func printError(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "gypsumdemo:", err) // a write error could only be reported to w
	return code
}

func printLine(w io.Writer, line string) int {
	if _, err := fmt.Fprintln(w, line); err != nil {
		return ExitFailed
	}
	return ExitOK
}
