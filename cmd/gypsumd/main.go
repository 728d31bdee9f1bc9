// Command gypsumd is the entry host's daemon.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumd/cmds"
)

func main() {
	// Room for the second signal, which ends a stop that takes too long.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	os.Exit(cmds.Run(os.Args[1:], signals, os.Stdout, os.Stderr))
}
