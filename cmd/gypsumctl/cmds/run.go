package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

// The exit codes of gypsumctl.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotYet      = 4
	ExitUnresolved  = 5
	ExitUnreachable = 6
)

const formatJSON = "json"

// envHost lists the hosts, with commas, when --host is not given.
const envHost = "GYPSUM_HOST"

// errUsage says that the command line is wrong.
type errUsage struct {
	message string
}

// Error returns what is wrong.
func (e *errUsage) Error() string { return e.message }

// errPartial says that some hosts did not answer.
type errPartial struct {
	silent []operators.UnreachableHost
}

// Error names the hosts.
func (e *errPartial) Error() string {
	text := "no answer from"
	for _, h := range e.silent {
		text += fmt.Sprintf("\n  %s %s: %s", h.Address, h.Instance, h.Error)
	}
	return text
}

// errNotYet says that a revision is stored and not accepted yet.
type errNotYet struct {
	applied operators.ApplyResult
}

// Error tells where the revision is not yet in force.
func (e *errNotYet) Error() string { return e.applied.String() }

// subcommand is one run of a command.
type subcommand struct {
	args   arguments
	client *operators.Client
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// Run runs the command that args name and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &subcommand{stdin: stdin, stdout: stdout, stderr: stderr}
	p, err := arg.NewParser(arg.Config{Program: "gypsumctl"}, &s.args)
	if err != nil {
		say(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		say(stdout, s.args.Version())
		return ExitOK
	case err != nil:
		return usage(p, stderr, err)
	}
	if len(s.args.Hosts) == 0 {
		s.args.Hosts = hostsOf(os.Getenv(envHost))
	}
	s.client = &operators.Client{Hosts: s.args.Hosts}
	err = s.run(ctx)
	var wrong *errUsage
	if errors.As(err, &wrong) {
		return usage(p, stderr, err)
	}
	return s.finish(err)
}

func hostsOf(list string) []string {
	var hosts []string
	for h := range strings.SplitSeq(list, ",") {
		if h = strings.TrimSpace(h); h != "" {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func usage(p *arg.Parser, stderr io.Writer, err error) int {
	_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
	say(stderr, "error: ", err)
	return ExitUsage
}

// say prints a line for a person. There is nobody to tell when it fails.
func say(w io.Writer, words ...any) {
	_, _ = fmt.Fprintln(w, fmt.Sprint(words...))
}

func (s *subcommand) run(ctx context.Context) error {
	if s.args.Output != "text" && s.args.Output != formatJSON {
		return &errUsage{fmt.Sprintf("--output knows text and json, not %q", s.args.Output)}
	}
	if s.args.Check != nil {
		return s.check(s.args.Check.File)
	}
	command := s.command()
	if command == nil {
		return &errUsage{"a command is needed"}
	}
	if len(s.args.Hosts) == 0 {
		return &errUsage{"--host or GYPSUM_HOST must name the operators' address of an entry host"}
	}
	return command(ctx)
}

// command returns the command that asks hosts, or nil where none is complete.
func (s *subcommand) command() func(ctx context.Context) error {
	a := &s.args
	switch {
	case a.Diff != nil:
		return s.diff
	case a.Apply != nil:
		return s.apply
	case a.Get != nil:
		return s.get
	case a.Preset != nil && a.Preset.List != nil:
		return s.presetList
	case a.Preset != nil && a.Preset.Use != nil:
		return s.presetUse
	case a.Key != nil && a.Key.Give != nil:
		return s.keyGive
	case a.Key != nil && a.Key.Withdraw != nil:
		return s.keyWithdraw
	case a.Workspace != nil && a.Workspace.List != nil:
		return s.workspaceList
	case a.Drain != nil:
		return s.drain
	case a.Undrain != nil:
		return s.undrain
	case a.Seat != nil && a.Seat.Abandon != nil:
		return s.seatAbandon
	case a.Status != nil:
		return s.status
	case a.Report != nil:
		return s.report
	}
	return nil
}

// failure is the JSON form of an error.
type failure struct {
	Error string `json:"error"`
	// Code is the code of the problem that a host answered.
	Code   string          `json:"code,omitempty"`
	Exit   int             `json:"exitCode"`
	Faults []decoder.Fault `json:"faults,omitempty"`
}

// finish tells an error and returns its exit code.
func (s *subcommand) finish(err error) int {
	code := exitCode(err)
	if err == nil {
		return code
	}
	say(s.stderr, err)
	var partial *errPartial
	var notYet *errNotYet
	if s.args.Output != formatJSON || errors.As(err, &partial) || errors.As(err, &notYet) {
		return code
	}
	f := failure{Error: err.Error(), Exit: code}
	var p *operators.Problem
	var faults *parser.ErrFaults
	switch {
	case errors.As(err, &p):
		f.Code, f.Faults, f.Error = p.Code, p.Faults, p.Detail
	case errors.As(err, &faults):
		f.Code, f.Faults, f.Error = operators.CodeFaults, faults.Faults, "the document has faults"
	}
	if err := s.printJSON(f); err != nil {
		say(s.stderr, err)
	}
	return code
}

func exitCode(err error) int {
	var p *operators.Problem
	var unresolved *operators.ErrUnresolved
	var unreachable *operators.ErrUnreachable
	var partial *errPartial
	var notYet *errNotYet
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &p):
		return problemCode(p)
	case errors.As(err, &notYet):
		return ExitNotYet
	case errors.As(err, &unresolved):
		return ExitUnresolved
	case errors.As(err, &unreachable), errors.As(err, &partial):
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

func problemCode(p *operators.Problem) int {
	switch p.Code {
	case operators.CodeConflict:
		return ExitConflict
	case operators.CodeUnresolved, operators.CodeInternal:
		return ExitUnresolved
	case operators.CodeNotStored:
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

func (s *subcommand) printJSON(v any) error {
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// read returns the text of a file, or of standard input for "-".
func (s *subcommand) read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(s.stdin, parser.MaxDocumentBytes+1))
	}
	return os.ReadFile(file)
}

// parse reads and checks the document in a file. Its faults name the file.
func (s *subcommand) parse(file string) ([]byte, *config.Document, error) {
	text, err := s.read(file)
	if err != nil {
		return nil, nil, err
	}
	doc, err := parser.Parse(text)
	var faults *parser.ErrFaults
	if errors.As(err, &faults) {
		faults.File = file
	}
	return text, doc, err
}
