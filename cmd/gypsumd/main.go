// Command gypsumd is the daemon of an entry host, or of a gateway host with
// --gateway.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumd/cmds"
)

func main() {
	// The second signal aborts a graceful stop, so both must fit into the channel.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	os.Exit(cmds.Run(os.Args[1:], signals, os.Stdout, os.Stderr))
}
