// Command standin plays the platform, the targets and the consumers of the cases of the review. It
// starts the project's daemons as processes, and exits with 1 if the rule of the case was broken, 0
// if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(record *os.File, trouble bool) (broken bool, err error){
	"memory": caseMemory,
	"slots":  caseSlots,
	"forged": caseForged,
	"idle":   caseIdle,
	"stops":  caseStops,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict = 2, "the case could not run: "+err.Error()
	case broken:
		code, verdict = 1, "the rule was broken"
	}
	_, _ = fmt.Fprintln(record, verdict)
	_ = record.Close()
	fmt.Println(verdict)
	os.Exit(code)
}
