// Command quillshunt is a cluster scheduler: it runs users' jobs on machines that it rents. See
// README.md.
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
