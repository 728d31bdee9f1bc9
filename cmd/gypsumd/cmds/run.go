// Package cmds implements the command line of gypsumd; main calls Run.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/alexflint/go-arg"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/settings"
	"gypsumbeam.example/gypsumbeam/pkg/version"
	"gypsumbeam.example/gypsumbeam/service/entryhost"
)

// Exit codes of gypsumd.
const (
	ExitOK = 0
	// ExitStartFailed means that the settings have faults or the host cannot start.
	ExitStartFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitUncleanStop means that the host stopped before all requests were finished
	// and its seats released.
	ExitUncleanStop = 3
)

// arguments holds the command line arguments.
type arguments struct {
	Settings string `arg:"positional,required" placeholder:"SETTINGS" help:"the settings file, JSON with comments"`
	Gateway  bool   `arg:"--gateway" help:"run a gateway host on the platform; the file holds its settings"`
	Check    bool   `arg:"--check" help:"check the settings file, tell all its faults, and end"`
	Log      bool   `arg:"--log" help:"log on standard error, whatever the settings say"`
	// LogOutput replaces the list in the settings.
	LogOutput string `arg:"--log-output" placeholder:"LIST" help:"subsystems to log, with commas; needs --log"`
}

// Version returns the line that --version prints.
func (arguments) Version() string { return "gypsumd " + version.String() }

// Description returns the text that --help starts with.
func (arguments) Description() string { return "gypsumd runs one gypsumbeam entry host." }

// Epilogue returns the text that --help ends with.
func (arguments) Epilogue() string {
	return `SIGTERM or SIGINT stops the host gracefully; a second one ends it at once.

exit codes:
  0  stopped, and all requests were finished
  1  the settings have faults, or the host cannot start
  2  wrong command line
  3  stopped before all was done`
}

// Run runs the daemon until a signal stops it, and returns the exit code. args are
// the arguments without the program's name.
func Run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "gypsumd"}, &a)
	if err != nil {
		printLine(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		printLine(stdout, a.Version())
		return ExitOK
	case err != nil:
		p.WriteUsage(stderr)
		printLine(stderr, "error: ", err)
		return ExitUsage
	}
	if a.Gateway {
		return runGateway(a, signals, stdout, stderr)
	}
	s, err := loadSettings(a.Settings)
	if err != nil {
		printFaults(stderr, a.Settings, err)
		return ExitStartFailed
	}
	if a.Check {
		printLine(stdout, a.Settings, ": no fault")
		return ExitOK
	}
	if err := setupLog(a, s, stderr); err != nil {
		printLine(stderr, "error: ", err)
		return ExitUsage
	}
	return serve(s, signals, stderr)
}

// printLine prints a line. A write error is ignored, as it could only be reported
// to w.
func printLine(w io.Writer, words ...any) {
	_, _ = fmt.Fprintln(w, fmt.Sprint(words...))
}

func loadSettings(file string) (*settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(text)
}

// printFaults prints one line for each fault of the settings file, or err.
func printFaults(w io.Writer, file string, err error) {
	var faults *decoder.ErrFaults
	if !errors.As(err, &faults) {
		printLine(w, err)
		return
	}
	for _, f := range faults.Faults {
		printLine(w, f.InFile(file))
	}
}

func setupLog(a arguments, s *settings.Settings, w io.Writer) error {
	if a.Log || a.LogOutput != "" {
		return logflags.Setup(a.Log, a.LogOutput, w)
	}
	return logflags.Setup(s.Log.On, s.Log.Output, w)
}

// serve runs an entry host until it has stopped, and returns the exit code. The
// first signal starts a graceful stop, and the second one aborts it.
func serve(s *settings.Settings, signals <-chan os.Signal, stderr io.Writer) int {
	h, err := entryhost.New(hostConfig(s))
	if err == nil {
		err = h.Start()
	}
	if err != nil {
		printLine(stderr, err)
		return ExitStartFailed
	}
	select {
	case <-signals:
	case <-h.Done():
		printLine(stderr, "the host ended by itself")
		return ExitUncleanStop
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := h.Stop(ctx); err != nil {
		printLine(stderr, err)
		return ExitUncleanStop
	}
	if ctx.Err() != nil {
		printLine(stderr, "ended by the second signal")
		return ExitUncleanStop
	}
	return ExitOK
}

func hostConfig(s *settings.Settings) entryhost.Config {
	return entryhost.Config{
		Region:           s.Region,
		Zone:             s.Zone,
		CallersAddress:   s.Advertised.Callers,
		PeersAddress:     s.Advertised.Peers,
		OperatorsAddress: s.Advertised.Operators,
		StoreURL:         s.PlatformURL,
		Seeds:            s.Seeds,
		DrainLimit:       s.DrainLimit(),
		NoticeTime:       s.NoticeTime(),
		Listen: func(advertised string) (net.Listener, error) {
			var l net.ListenConfig
			return l.Listen(context.Background(), "tcp", s.ListenAddress(advertised))
		},
	}
}
