// Command currantpulleyd is the router daemon. With "platform" as its only
// argument it runs on the users' platform and takes its settings from it.
package main

import (
	"fmt"
	"os"

	"currantpulley/internal/daemon/run"
	"currantpulley/platform"
)

func main() {
	if err := start(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "currantpulleyd:", err)
		os.Exit(1)
	}
}

func start(args []string) error {
	if len(args) == 1 && args[0] == "platform" {
		return platform.Main()
	}
	return run.Main(args)
}
