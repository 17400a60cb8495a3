// Command play plays one script case of the third review. This folder starts the daemons of a small deployment as
// processes of their own, beside stand-ins of the platform's store, the targets and the consumers; the function play stands in the
// folder of the case.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: play RECORD")
		return exitNotRun
	}
	s, err := newSite(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return 0
}
