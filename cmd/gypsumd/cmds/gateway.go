package cmds

import (
	"bytes"
	"io"
	"os"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/gatewaysettings"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/spooler"
	"gypsumbeam.example/gypsumbeam/platform/daemon"
)

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// runGateway runs a gateway host until a signal stops it, and returns the exit
// code. It logs to stdout.
func runGateway(a arguments, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	f := &settingsFile{path: a.Settings}
	s, err := f.read()
	if err != nil {
		printFaults(stderr, a.Settings, err)
		return ExitStartFailed
	}
	if a.Check {
		printLine(stdout, a.Settings, ": no fault")
		return ExitOK
	}
	lines := spooler.New(stdout)
	defer lines.Close()
	if err := logflags.Setup(true, a.LogOutput, lines); err != nil {
		printLine(stderr, "error: ", err)
		return ExitUsage
	}
	d, err := daemon.New(s)
	if err == nil {
		d.Metrics().Gauge("log.linesDropped", lines.Dropped)
		err = d.Run(f.watch(signals, d))
	}
	if err != nil {
		printLine(stderr, err)
		return ExitStartFailed
	}
	return ExitOK
}

// settingsFile is the settings file with the text that was last read from it.
type settingsFile struct {
	path string
	text []byte
}

// read reads and parses the file.
func (f *settingsFile) read() (*gatewaysettings.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	f.text = text
	return gatewaysettings.Parse(text)
}

// watch reloads the settings on SIGHUP and when the file changes. It returns a
// channel that is closed on any other signal.
func (f *settingsFile) watch(signals <-chan os.Signal, d *daemon.Daemon) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		for {
			select {
			case sig := <-signals:
				if sig != syscall.SIGHUP {
					return
				}
			case <-t.C:
			}
			f.reload(d)
		}
	}()
	return stop
}

// reload applies the settings if the file has changed. If the file has faults, it
// logs them and the previous settings remain in force.
func (f *settingsFile) reload(d *daemon.Daemon) {
	before := f.text
	s, err := f.read()
	if bytes.Equal(before, f.text) && err == nil {
		return
	}
	if err != nil {
		logflags.Logger(logflags.EntryHost).WithError(err).Error("settings file not reloaded; the previous settings remain in force")
		return
	}
	d.Reload(s)
}
