// Command standin plays the cases of the review. It starts the project's daemon as the deploy file
// does, plays the platform's store, the runners and the callers around it, and exits with 1 if the
// rule of the case was broken, 0 if it held and 2 if the case could not run.
//
//	standin case NAME RECORD
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTimeout bounds a play.
const playTimeout = 110 * time.Second

// cases are the cases by name. Each reports whether its rule was broken; disturbed is false for the
// same play without the disruption.
var cases = map[string]func(d *deployment, disturbed bool) (broken bool, err error){
	"parts":  longPrompts,
	"target": doubleSlash,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		if err := runnerMain(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "runner:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin case NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, disturbed bool) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		return exitNotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		return notRun(rec, err)
	}
	defer d.end()
	time.AfterFunc(playTimeout, func() {
		rec.note("the case could not run: it took longer than %s", playTimeout)
		d.end()
		os.Exit(exitNotRun)
	})
	rec.note("case %s, disturbed: %t", name, disturbed)
	broken, err := cases[name](d, disturbed)
	switch {
	case err != nil:
		return notRun(rec, err)
	case broken:
		rec.note("the rule was broken")
		fmt.Println("the rule was broken; see", record)
		return exitBroken
	default:
		rec.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

func notRun(rec *recorder, err error) int {
	rec.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitNotRun
}
