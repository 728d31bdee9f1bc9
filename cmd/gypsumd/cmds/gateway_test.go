package cmds_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumd/cmds"
)

// lockedBuffer is a buffer that may be written and read concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// waitFor waits until the buffer has a line with all words.
func (l *lockedBuffer) waitFor(t *testing.T, words ...string) {
	t.Helper()
	for range 500 {
		l.mu.Lock()
		text := l.b.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			missing := false
			for _, w := range words {
				missing = missing || !strings.Contains(line, w)
			}
			if !missing {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the log has no line with %q", words)
}

// Guards against a changed share of hedges that needs a restart, and against a wrong one that
// stops the host or takes effect.
func TestHedgingShareIsReloaded(t *testing.T) {
	is := is.New(t)
	settings := func(share string) string {
		return fmt.Sprintf(`{"name": "h", "zone": "one", "region": "west", "store": %q, "bounds": {"grace": "1s"}, "hedging": {"share": %s},
			"listen": {"callers": %q, "lookups": %q, "readiness": %q, "siblings": %q}}`, "127.0.0.1:9", share,
			freePort(t), freePort(t), freePort(t), freePort(t))
	}
	file := write(t, settings("0.3"))
	var diag bytes.Buffer
	is.Equal(cmds.Run([]string{"--gateway", file}, nil, io.Discard, &diag), cmds.ExitStartFailed)
	is.True(strings.Contains(diag.String(), "hedging.share: must be between 0 and 0.2, but is 0.3"))
	is.NoErr(os.WriteFile(file, []byte(settings("0.05")), 0o600))
	signals, ended, out := make(chan os.Signal), make(chan int, 1), &lockedBuffer{}
	go func() { ended <- cmds.Run([]string{"--gateway", file}, signals, out, io.Discard) }()
	out.waitFor(t, "following the store")
	for _, c := range []struct{ share, line, detail string }{
		{"0.1", "settings reloaded", "hedging=0.1"},
		{"0.5", "previous settings remain in force", "hedging.share: must be between 0 and 0.2, but is 0.5"},
		{"0", "settings reloaded", "hedging=0"},
	} {
		is.NoErr(os.Rename(write(t, settings(c.share)), file)) // a file that is half written has faults
		signals <- syscall.SIGHUP
		out.waitFor(t, c.line, c.detail)
	}
	signals <- syscall.SIGTERM
	select {
	case code := <-ended:
		is.Equal(code, cmds.ExitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("the host does not stop")
	}
}
