package cmds

import (
	"io"
	"os"

	"gypsumbeam.example/gypsumbeam/pkg/gatewaysettings"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/spooler"
	"gypsumbeam.example/gypsumbeam/platform/daemon"
)

// runGateway runs a gateway host until a signal stops it, and returns the exit
// code. Its log goes to stdout.
func runGateway(a arguments, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	text, err := os.ReadFile(a.Settings)
	if err != nil {
		say(stderr, err)
		return ExitRefused
	}
	s, err := gatewaysettings.Parse(text)
	if err != nil {
		sayFaults(stderr, a.Settings, err)
		return ExitRefused
	}
	if a.Check {
		say(stdout, a.Settings, ": no fault")
		return ExitOK
	}
	lines := spooler.New(stdout)
	defer lines.Close()
	if err := logflags.Setup(true, a.LogOutput, lines); err != nil {
		say(stderr, "error: ", err)
		return ExitUsage
	}
	d, err := daemon.New(s)
	if err == nil {
		err = d.Run(signals)
	}
	if err != nil {
		say(stderr, err)
		return ExitRefused
	}
	return ExitOK
}
