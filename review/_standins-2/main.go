// Command review-2 holds the stand-ins of the scripts in review/6 to review/10: the platform's store, replicas and
// clients. A script runs one case; the nodes are separate processes of the project's own program.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is when a case ends in any case. Scripts may run for 120 seconds.
const caseTimeout = 112 * time.Second

var cases = map[string]func(r *run) int{
	"deadly-late":      deadlyLate,
	"deadly-answered":  deadlyAnswered,
	"crashed-unframed": crashedUnframed,
	"smuggled-request": smuggledRequest,
	"spliced-text":     splicedText,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == replicaProcess {
		serveUnframed(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE NODE-PROGRAM RECORD-FILE")
		os.Exit(exitNotRun)
	}
	program, err := filepath.Abs(os.Args[2])
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the node's program:", err)
		os.Exit(exitNotRun)
	}
	r, err := newRun(program, os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(caseTimeout, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	code := cases[os.Args[1]](r)
	r.note("exit %d", code)
	r.close()
	os.Exit(code)
}
