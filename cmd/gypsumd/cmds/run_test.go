package cmds_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	gypsumctl "gypsumbeam.example/gypsumbeam/cmd/gypsumctl/cmds"
	"gypsumbeam.example/gypsumbeam/cmd/gypsumd/cmds"
	"gypsumbeam.example/gypsumbeam/internal/standin/store"
)

// Values of the setting noticeMs.
const (
	shortNotice = 100 * time.Millisecond
	longNotice  = 20 * time.Second
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "host.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// freePort returns an address with a port that was just free.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func settingsFor(t *testing.T, callers, platform string, notice time.Duration) string {
	t.Helper()
	return fmt.Sprintf(`{"region": "east", "zone": "east-a", "platformUrl": %q, "noticeMs": %d, "drainLimitMs": 30000,
		"listen": {"callers": %q, "peers": %q, "operators": %q}}`, platform, notice.Milliseconds(), callers, freePort(t), freePort(t))
}

func TestSettingsFaultsArePrintedOnePerLine(t *testing.T) {
	is := is.New(t)
	file := write(t, "{\n  \"region\": 1,\n  \"zome\": \"east-a\",\n}\n")
	for _, args := range [][]string{{file}, {file, "--check"}} {
		var out, diag bytes.Buffer
		is.Equal(cmds.Run(args, nil, &out, &diag), cmds.ExitStartFailed)
		is.True(strings.Contains(diag.String(), file+":2:13: region: must be a string, not a number\n"))
		is.True(strings.Contains(diag.String(), file+":3:3: zome: unknown field\n"))
		is.True(strings.Contains(diag.String(), file+":1:1: zone: "))
	}
}

func TestExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	good := write(t, settingsFor(t, freePort(t), "http://127.0.0.1:1", shortNotice))
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"no file", nil, cmds.ExitUsage, "SETTINGS"},
		{"unknown flag", []string{good, "--fast"}, cmds.ExitUsage, "--fast"},
		{"unknown subsystem", []string{good, "--log", "--log-output", "chairs"}, cmds.ExitUsage, "chairs"},
		{"missing file", []string{"none.jsonc"}, cmds.ExitStartFailed, "none.jsonc"},
		{"address taken", []string{write(t, settingsFor(t, taken.Addr().String(), "http://127.0.0.1:1", shortNotice))},
			cmds.ExitStartFailed, taken.Addr().String()},
		{"check", []string{good, "--check"}, cmds.ExitOK, ""},
		{"help", []string{"--help"}, cmds.ExitOK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, diag bytes.Buffer
			is.Equal(cmds.Run(c.args, nil, &out, &diag), c.code)
			is.True(strings.Contains(diag.String(), c.says))
		})
	}
}

// start runs the daemon. It returns the operators' address, a channel for signals,
// and a channel that receives the exit code.
func start(t *testing.T, notice time.Duration) (string, chan os.Signal, <-chan int) {
	t.Helper()
	platform := httptest.NewServer((&store.Store{}).Handler())
	t.Cleanup(platform.Close)
	text := settingsFor(t, freePort(t), platform.URL, notice)
	operators := text[strings.LastIndex(text, `"operators": "`)+len(`"operators": "`) : strings.LastIndex(text, `"}`)]
	signals := make(chan os.Signal, 2)
	ended := make(chan int, 1)
	file := write(t, text)
	go func() {
		var out, diag bytes.Buffer
		ended <- cmds.Run([]string{file}, signals, &out, &diag)
	}()
	for range 100 {
		resp, err := http.Get("http://" + operators + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			return operators, signals, ended
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the host does not respond to /healthz")
	return "", nil, nil
}

func TestSignalStopsHostGracefully(t *testing.T) {
	is := is.New(t)
	operators, signals, ended := start(t, shortNotice)
	resp, err := http.Get("http://" + operators + "/readyz")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // there is no configuration yet
	signals <- syscall.SIGTERM
	select {
	case code := <-ended:
		is.Equal(code, cmds.ExitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("the host does not stop")
	}
}

const document = `{
  "fleet": "tests",
  "regions": [{"name": "east", "zones": ["east-a"], "seats": 1}],
  "services": [{"name": "shop", "slots": 3, "upstreams": [
    {"name": "shop-1", "region": "east", "zone": "east-a", "address": "127.0.0.1:9"},
  ]}],
  "workspaces": [{"name": "oak", "rate": 10, "burst": 4}],
  "presets": [{"name": "ordinary"}, {"name": "peak"}],
  "preset": "ordinary",
}
`

func TestGypsumctlControlsHost(t *testing.T) {
	is := is.New(t)
	operators, signals, ended := start(t, shortNotice)
	t.Setenv("GYPSUM_HOST", operators)
	file := write(t, document)
	for _, c := range []struct {
		line string
		says string
	}{
		{"apply " + file + " --base 0", "revision 1 accepted"},
		{"preset use peak", "revision 2 accepted"},
		{"status", "peak"},
		{"report", "1 hosts answered, 0 did not"},
	} {
		var out, diag bytes.Buffer
		code := gypsumctl.Run(t.Context(), strings.Fields(c.line), strings.NewReader(""), &out, &diag)
		is.Equal(diag.String(), "")
		is.Equal(code, gypsumctl.ExitOK)
		is.True(strings.Contains(out.String(), c.says))
	}
	resp, err := http.Get("http://" + operators + "/readyz")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	signals <- syscall.SIGTERM
	is.Equal(<-ended, cmds.ExitOK)
}

func TestSecondSignalAbortsGracefulStop(t *testing.T) {
	is := is.New(t)
	_, signals, ended := start(t, longNotice)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	select {
	case code := <-ended:
		is.Equal(code, cmds.ExitUncleanStop)
	case <-time.After(longNotice / 2):
		t.Fatal("the host does not end")
	}
}
