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

// Exit codes of gypsumctl; see arguments.Epilogue.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotInForce  = 4
	ExitUnresolved  = 5
	ExitUnreachable = 6
)

const formatJSON = "json"

// envHost names the environment variable with the comma-separated list of hosts
// that is used without --host.
const envHost = "GYPSUM_HOST"

// errUsage means that the command line is wrong.
type errUsage struct {
	message string
}

// Error implements error.
func (e *errUsage) Error() string { return e.message }

// errPartial means that some hosts did not respond.
type errPartial struct {
	unreachable []operators.UnreachableHost
}

// Error names the hosts and their errors.
func (e *errPartial) Error() string {
	text := "no answer from"
	for _, h := range e.unreachable {
		text += fmt.Sprintf("\n  %s %s: %s", h.Address, h.Instance, h.Error)
	}
	return text
}

// errNotInForce means that a revision is stored but not accepted yet.
type errNotInForce struct {
	applied operators.ApplyResult
}

// Error names the hosts on which the revision is not yet in force.
func (e *errNotInForce) Error() string { return e.applied.String() }

// invocation is one invocation of gypsumctl.
type invocation struct {
	args   arguments
	client *operators.Client
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// Run runs the command in args, which do not contain the program's name, and returns
// the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &invocation{stdin: stdin, stdout: stdout, stderr: stderr}
	p, err := arg.NewParser(arg.Config{Program: "gypsumctl"}, &s.args)
	if err != nil {
		printLine(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		printLine(stdout, s.args.Version())
		return ExitOK
	case err != nil:
		return printUsage(p, stderr, err)
	}
	if a := s.args.Explain; a != nil && a.JSON {
		s.args.Output = formatJSON
	}
	if len(s.args.Hosts) == 0 && s.args.Explain == nil { // the variable names other addresses
		s.args.Hosts = splitHosts(os.Getenv(envHost))
	}
	s.client = &operators.Client{Hosts: s.args.Hosts}
	err = s.run(ctx)
	var wrong *errUsage
	if errors.As(err, &wrong) {
		return printUsage(p, stderr, err)
	}
	return s.reportError(err)
}

func splitHosts(list string) []string {
	var hosts []string
	for h := range strings.SplitSeq(list, ",") {
		if h = strings.TrimSpace(h); h != "" {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func printUsage(p *arg.Parser, stderr io.Writer, err error) int {
	_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
	printLine(stderr, "error: ", err)
	return ExitUsage
}

// printLine prints a line. A write error is ignored, as it could only be reported
// to w.
func printLine(w io.Writer, words ...any) {
	_, _ = fmt.Fprintln(w, fmt.Sprint(words...))
}

func (s *invocation) run(ctx context.Context) error {
	if s.args.Output != "text" && s.args.Output != formatJSON {
		return &errUsage{fmt.Sprintf("--output knows text and json, not %q", s.args.Output)}
	}
	if s.args.Check != nil {
		return s.check(s.args.Check.File)
	}
	if s.args.Explain != nil {
		return s.explain(ctx)
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

// command returns the function of the command in the arguments, or nil if the
// command is missing or incomplete. It does not handle check and explain, which use no operators' address.
func (s *invocation) command() func(ctx context.Context) error {
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

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error string `json:"error"`
	// Code is the code of the Problem that a host returned.
	Code   string          `json:"code,omitempty"`
	Exit   int             `json:"exitCode"`
	Faults []decoder.Fault `json:"faults,omitempty"`
}

// reportError prints err, unless it is nil, and returns its exit code.
func (s *invocation) reportError(err error) int {
	code := exitCode(err)
	if err == nil {
		return code
	}
	printLine(s.stderr, err)
	var partial *errPartial
	var notInForce *errNotInForce
	if s.args.Output != formatJSON || errors.As(err, &partial) || errors.As(err, &notInForce) {
		return code
	}
	f := errorOutput{Error: err.Error(), Exit: code}
	var p *operators.Problem
	var faults *parser.ErrFaults
	switch {
	case errors.As(err, &p):
		f.Code, f.Faults, f.Error = p.Code, p.Faults, p.Detail
	case errors.As(err, &faults):
		f.Code, f.Faults, f.Error = operators.CodeFaults, faults.Faults, "the document has faults"
	}
	if err := s.printJSON(f); err != nil {
		printLine(s.stderr, err)
	}
	return code
}

func exitCode(err error) int {
	var p *operators.Problem
	var unresolved *operators.ErrUnresolved
	var unreachable *operators.ErrUnreachable
	var partial *errPartial
	var notInForce *errNotInForce
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &p):
		return problemExitCode(p)
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &unresolved):
		return ExitUnresolved
	case errors.As(err, &unreachable), errors.As(err, &partial):
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

func problemExitCode(p *operators.Problem) int {
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

func (s *invocation) printJSON(v any) error {
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// read returns the content of a file, or of standard input if file is "-".
func (s *invocation) read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(s.stdin, parser.MaxDocumentBytes+1))
	}
	return os.ReadFile(file)
}

// parse reads and parses the document in a file. Faults in its error name the file.
func (s *invocation) parse(file string) ([]byte, *config.Document, error) {
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
