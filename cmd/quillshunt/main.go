// Command quillshunt is a cluster scheduler that runs users' jobs on machines rented from a cloud. It
// runs a controller, and has subcommands for users and operators. See README.md.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "quillshunt:", err)
		os.Exit(1)
	}
}
