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

// settingsPoll is the time between two looks at the settings file, which may
// change without a signal.
const settingsPoll = time.Second

// runGateway runs a gateway host until a signal stops it, and returns the exit
// code. Its log goes to stdout.
func runGateway(a arguments, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	f := &settingsFile{path: a.Settings}
	s, err := f.read()
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
		d.Metrics().Gauge("log.linesDropped", lines.Dropped)
		err = d.Run(f.follow(signals, d))
	}
	if err != nil {
		say(stderr, err)
		return ExitRefused
	}
	return ExitOK
}

// settingsFile is the settings file as it was last read.
type settingsFile struct {
	path string
	text []byte
}

// read reads and checks the file.
func (f *settingsFile) read() (*gatewaysettings.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	f.text = text
	return gatewaysettings.Parse(text)
}

// follow reloads the settings when SIGHUP comes or the file changes. The channel
// that it returns is closed when another signal comes.
func (f *settingsFile) follow(signals <-chan os.Signal, d *daemon.Daemon) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		t := time.NewTicker(settingsPoll)
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

// reload puts changed settings in force. A file with faults changes nothing.
func (f *settingsFile) reload(d *daemon.Daemon) {
	before := f.text
	s, err := f.read()
	if bytes.Equal(before, f.text) && err == nil {
		return
	}
	if err != nil {
		logflags.Logger(logflags.EntryHost).WithError(err).Error("settings not reloaded")
		return
	}
	d.Reload(s)
}
