package cmds

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/demo"
)

// This test accepts broken promises, because those about time can break on a busy
// machine. internal/demo checks the promises on the virtual clock.
func TestShortRunTellsItsVerdict(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "report.json")
	var out, progress bytes.Buffer
	code := Run(t.Context(), []string{"--duration", "5s", "--load", "0.3", "--seed", "3", "--json", file}, &out, &progress)
	if code != ExitOK && code != ExitBroken {
		t.Fatalf("exit code %d\n%s\n%s", code, progress.String(), out.String())
	}
	b, err := os.ReadFile(file)
	is.NoErr(err)
	var report demo.Report
	is.NoErr(json.Unmarshal(b, &report))
	is.True(report.Answered > 0)
	is.True(len(report.Promises) > 0)
	is.Equal(len(report.Stops), 2) // one host crashed and one stopped gracefully
	is.Equal(code, exitCode(&report))
	for _, p := range report.Promises {
		is.True(strings.Contains(out.String(), p.Name))
	}
	is.True(strings.Contains(string(b), `"insideRate"`)) // names in camel case
	is.True(strings.Contains(progress.String(), "entry hosts and"))
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(&demo.Report{Promises: []demo.Promise{{State: demo.Held}, {State: demo.NotSeen}}}), ExitOK)
	is.Equal(exitCode(&demo.Report{Promises: []demo.Promise{{State: demo.Held}, {State: demo.Broken}}}), ExitBroken)
	for _, args := range [][]string{
		{"--deployment", "atlantis"},
		{"--duration", "-1s"},
		{"--load", "0"},
		{"--load", "NaN"},
		{"--seed", "x"},
		{"--log-output", "limiter"},
		{"surplus"},
	} {
		var out, errOut bytes.Buffer
		is.Equal(Run(t.Context(), args, &out, &errOut), ExitUsage)
		is.True(strings.Contains(errOut.String(), "gypsumdemo:")) // stderr contains the error
		is.Equal(out.Len(), 0)
	}
}

func TestPlacementPrintsATable(t *testing.T) {
	is := is.New(t)
	var out, diag bytes.Buffer
	is.Equal(Run(t.Context(), []string{"placement", "--wave", "1s", "--times", "0.5"}, &out, &diag), ExitOK)
	for _, name := range []string{"shop", "courts", "nothing", "siblings", "everything"} {
		is.True(strings.Contains(out.String(), name))
	}
}
