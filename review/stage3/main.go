//go:build review

// Command stage3 plays the scripts of review/11 to review/14: it starts entry hosts as
// processes, stand-ins of the store, the targets and the clients, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// scripts maps the names of the cases to their scripts. A script gets whether the disruption is
// to happen, and returns errBroken if the rule was broken.
var scripts = map[string]func(rec *recorder, trouble bool) error{
	"broken":  playBroken,
	"early":   playEarly,
	"encoded": playEncoded,
	"second":  playSecond,
}

func main() {
	name := flag.String("case", "", "the case to play")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	record := flag.String("record", "", "the file to write the record to")
	flag.Parse()
	os.Exit(play(*name, *trouble, *record))
}

// play plays the script of a case and returns the exit code.
func play(name string, trouble bool, record string) int {
	script := scripts[name]
	if script == nil || record == "" {
		flag.Usage()
		return exitNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.note("case %s, with the disruption: %v", name, trouble)
	err = script(rec, trouble)
	rec.note("result: %v", err)
	if closeErr := rec.close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
		return exitNotRun
	}
	switch {
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
