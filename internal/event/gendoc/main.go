// Command gendoc writes the event catalogue as a Markdown page to the file named
// by its argument.
package main

import (
	"fmt"
	"os"

	"currantpulley/internal/event"
)

const fileMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gendoc FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(event.Markdown()), fileMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
