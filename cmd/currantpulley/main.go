// Command currantpulley is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"currantpulley/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cli.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
