// Command _rig2 plays the cases of the second review: it starts controllers with the run command of the deploy file,
// and plays the state service, the cloud, the workers and the users on the loopback.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(recordFile string, trouble bool) int{
	"capacity": runCapacity,
	"again":    runAgain,
	"types":    runTypes,
	"bookmark": runBookmark,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD-FILE")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func(string, bool) int) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", reason)
			code = failed
		}
	}()
	code = play(os.Args[2], os.Getenv("TROUBLE") != "0")
	fmt.Println(map[int]string{held: "held", broken: "BROKEN", failed: "could not run"}[code])
	return code
}
