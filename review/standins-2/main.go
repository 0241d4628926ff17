// Command caselab plays the cases of the second review: it starts the project's gateway as
// separate processes, with small stand-ins for the platform's store, the replicas and the
// requesters, and judges what requesters and replicas have seen.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func init() {
	// Child processes end with the thread that started them, which must therefore live as long as
	// this process.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: caselab replica|CASE [flags]")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2:], play))
}
