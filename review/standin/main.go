//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc runs a case. It reports whether the rule held.
type caseFunc func(w *world) (held bool, err error)

// cases are the cases by name. Each file of a case adds its own.
var cases = make(map[string]caseFunc)

// helpers are processes that cases start, by the first argument of the command.
var helpers = make(map[string]func(args []string))

func main() {
	if len(os.Args) > 1 && helpers[os.Args[1]] != nil {
		helpers[os.Args[1]](os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// endEarly ends all processes if the case is interrupted or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	w.logf("could not run: interrupted or too slow")
	w.close()
	os.Exit(exitNotRun)
}

// run runs a case and returns the exit code.
func run(c caseFunc, folder string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = f.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{out: f, start: time.Now()}
	rec.logf("trouble: %s", strconv.FormatBool(trouble))
	w, err := newWorld(rec, trouble)
	if err != nil {
		rec.logf("could not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	go w.endEarly()
	held, err := c(w)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case held:
		rec.logf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	default:
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
}
