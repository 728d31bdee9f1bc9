//go:build review

// Command stage3 plays the scripts of review/11 and review/12: it starts entry hosts as
// processes, stand-ins of the store, the targets and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

func main() { os.Exit(play(os.Args[1:])) }

// play plays the script NAME with its record in FOLDER.
func play(args []string) int {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 NAME FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = scripts[args[0]](rec, os.Getenv("TROUBLE") != "0")
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
