// Command gypsumdemo runs a whole deployment in one process and reports whether it
// kept its promises.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumdemo/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
