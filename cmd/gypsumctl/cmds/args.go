// Package cmds implements the commands of gypsumctl; main calls Run.
package cmds

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/version"
)

// arguments holds the command line arguments.
type arguments struct {
	Hosts  []string `arg:"--host,separate" placeholder:"ADDRESS" help:"operators' address of an entry host; may be repeated, and the first that answers is used [env: GYPSUM_HOST, a list with commas]; for explain, the metrics address of a gateway host"`
	Output string   `arg:"--output" default:"text" placeholder:"FORMAT" help:"text or json"`

	Check     *fileArguments     `arg:"subcommand:check" help:"check a document and tell all its faults"`
	Diff      *fileArguments     `arg:"subcommand:diff" help:"tell what a document would change"`
	Apply     *applyArguments    `arg:"subcommand:apply" help:"bring a document into force"`
	Get       *noArguments       `arg:"subcommand:get" help:"print the document in force"`
	Preset    *presetArguments   `arg:"subcommand:preset" help:"list presets, or put one in force"`
	Key       *keyArguments      `arg:"subcommand:key" help:"give or withdraw a workspace key"`
	Workspace *workspaceCommands `arg:"subcommand:workspace" help:"list workspaces"`
	Drain     *drainArguments    `arg:"subcommand:drain" help:"give a target or region no new work"`
	Undrain   *drainArguments    `arg:"subcommand:undrain" help:"let a drained target or region work again"`
	Seat      *seatCommands      `arg:"subcommand:seat" help:"free the seats of a host that is lost for good"`
	Status    *noArguments       `arg:"subcommand:status" help:"tell the state of every host"`
	Report    *noArguments       `arg:"subcommand:report" help:"tell whose traffic went where"`
	Explain   *explainArguments  `arg:"subcommand:explain" help:"tell where a gateway host would send a request now, and why"`
}

// Version returns the line that --version prints.
func (arguments) Version() string { return "gypsumctl " + version.String() }

// Description returns the text that --help starts with.
func (arguments) Description() string { return "gypsumctl drives a fleet of gypsumbeam entry hosts." }

// Epilogue returns the text that --help ends with.
func (arguments) Epilogue() string {
	return `exit codes:
  0  done
  1  refused; nothing was changed
  2  wrong command line
  3  conflict with another operator's change; nothing was changed
  4  stored, and not yet in force everywhere
  5  not known whether it was stored
  6  no answer from a host; nothing was changed`
}

type noArguments struct{}

type fileArguments struct {
	File string `arg:"positional,required" help:"the document; - reads standard input"`
}

type applyArguments struct {
	File string       `arg:"positional,required" help:"the document; - reads standard input"`
	Base ids.Revision `arg:"--base,required" placeholder:"REVISION" help:"the revision that the document was made against; 0 for the first"`
}

type explainArguments struct {
	Name      string        `arg:"--name,required" placeholder:"HOSTNAME" help:"the host name that the caller asks for; --host is the metrics address of the gateway host"`
	Path      string        `arg:"--path,required" help:"the path, with the query if there is one"`
	Method    string        `arg:"--method" default:"GET"`
	Object    string        `arg:"--object" placeholder:"KEY" help:"the object that the request is about"`
	Workspace ids.Workspace `arg:"--workspace" placeholder:"NAME" help:"the workspace whose key the request has"`
	Timeout   time.Duration `arg:"--timeout" placeholder:"DURATION" help:"how long the caller waits, such as 2s; without it, as for a caller that does not tell"`
	JSON      bool          `arg:"--json" help:"print the host's JSON, as with --output json"`
}

type presetArguments struct {
	List *noArguments `arg:"subcommand:list" help:"list the presets"`
	Use  *presetUse   `arg:"subcommand:use" help:"put a preset in force"`
}

type presetUse struct {
	Name ids.Preset `arg:"positional,required"`
}

type keyArguments struct {
	Give     *keyGive     `arg:"subcommand:give" help:"make a key for a workspace and print it once"`
	Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key"`
}

type keyGive struct {
	Workspace ids.Workspace `arg:"positional,required"`
}

type keyWithdraw struct {
	ID ids.KeyID `arg:"positional,required" placeholder:"KEYID"`
}

type workspaceCommands struct {
	List *noArguments `arg:"subcommand:list" help:"list the workspaces with their limits and key ids"`
}

type drainArguments struct {
	Name string `arg:"positional,required" placeholder:"TARGET|REGION"`
}

type seatCommands struct {
	Abandon *seatAbandon `arg:"subcommand:abandon" help:"free the seats of an instance whose process has ended for good"`
}

type seatAbandon struct {
	Instance ids.Instance `arg:"positional,required"`
}
