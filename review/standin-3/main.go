// Command standin-3 plays the script cases of the third review. It starts the daemons of a small deployment as
// processes of their own. The platform's store, the targets and the consumers are stand-ins in this process.
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

var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"ahead-crowd":     aheadCrowd,
	"foreign-entries": foreignEntries,
	"pipelined-stop":  pipelinedStop,
	"popular-path":    popularPath,
	"shared-path":     sharedPath,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitNotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
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
