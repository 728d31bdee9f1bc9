// Command gypsumctl is the command line tool for operators of a fleet of entry
// hosts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumctl/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
