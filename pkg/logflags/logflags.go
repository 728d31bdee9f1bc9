// Package logflags selects the subsystems that log, and provides their loggers. Each
// event is one line of key=value pairs. The program calls Setup once at its start; its
// components call Logger for each event.
package logflags

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
)

// Subsystem identifies a part of the program that logs.
type Subsystem string

// The subsystems, as named in --log-output.
const (
	Callers    Subsystem = "callers"
	Config     Subsystem = "config"
	EntryHost  Subsystem = "entryhost"
	Lease      Subsystem = "lease"
	Limiter    Subsystem = "limiter"
	Operators  Subsystem = "operators"
	Peers      Subsystem = "peers"
	Platform   Subsystem = "platform"
	Seats      Subsystem = "seats"
	Steerer    Subsystem = "steerer"
	Targets    Subsystem = "targets"
	Idempotent Subsystem = "idempotent"
)

var subsystems = []Subsystem{
	Callers, Config, EntryHost, Lease, Limiter, Operators, Peers, Platform, Seats, Steerer, Targets, Idempotent,
}

var (
	mu            sync.RWMutex
	enabled       = map[Subsystem]bool{}
	enabledLogger = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.InfoLevel}
)

// Setup enables logging to w for the subsystems in output, a comma-separated list. If
// on is set, an empty output means all subsystems. If on is not set, nothing is logged,
// and a non-empty output is an error, as is an unknown subsystem. Setup must be called
// before any component of the program starts.
func Setup(on bool, output string, w io.Writer) error {
	mu.Lock()
	defer mu.Unlock()
	enabled = map[Subsystem]bool{}
	if !on {
		if output != "" {
			return errs.New("--log-output requires --log")
		}
		return nil
	}
	enabledLogger = &log.Logger{Handler: &lineHandler{w: w}, Level: log.InfoLevel}
	if output == "" {
		for _, s := range subsystems {
			enabled[s] = true
		}
		return nil
	}
	for name := range strings.SplitSeq(output, ",") {
		s := Subsystem(strings.TrimSpace(name))
		if !Known(s) {
			return errs.New("--log-output: unknown subsystem %q; the known ones are %v", s, subsystems)
		}
		enabled[s] = true
	}
	return nil
}

// Subsystems returns the names that Setup accepts.
func Subsystems() []Subsystem { return slices.Clone(subsystems) }

// Known reports whether Setup accepts the name.
func Known(s Subsystem) bool { return slices.Contains(subsystems, s) }

// Logger returns the logger of a subsystem, which discards all entries unless Setup
// enabled the subsystem. It is safe for concurrent use.
func Logger(s Subsystem) log.Interface {
	mu.RLock()
	defer mu.RUnlock()
	if enabled[s] {
		return enabledLogger.WithField("subsystem", string(s))
	}
	return discardLogger
}

// discardLogger discards all entries.
var discardLogger = &log.Logger{
	Handler: log.HandlerFunc(func(*log.Entry) error { return nil }),
	Level:   log.FatalLevel,
}

// lineHandler writes one line of key=value pairs for each entry.
type lineHandler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog implements log.Handler. It writes the fields sorted by name.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s level=%s msg=%q", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, e.Message)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, quote(fmt.Sprint(e.Fields[name])))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// quote returns v, quoted if it is empty or contains separators.
func quote(v string) string {
	if v == "" || strings.ContainsAny(v, " =\"\n\t") {
		return fmt.Sprintf("%q", v)
	}
	return v
}
