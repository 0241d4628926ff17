// Command standins3 plays the scripted cases of review/11 to review/15: it starts gateways of the project
// as processes of their own, and plays the store, the replicas and the clients itself.
//
//	standins3 CASE RECORD
//
// It is started in the repository's root. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	root, tempDir string
	trouble       bool
	record        *bufio.Writer
	recordFile    *os.File
	began         time.Time
)

var cases = map[string]func() bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE RECORD")
		os.Exit(2)
	}
	trouble = os.Getenv("TROUBLE") != "0"
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record = bufio.NewWriter(recordFile)
	began = time.Now()
	if root, err = os.Getwd(); err != nil {
		fail(err.Error())
	}
	if tempDir, err = os.MkdirTemp("", "review-3-"); err != nil {
		fail(err.Error())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		fail("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { fail("the case could not run: it takes too long") })
	logEvent("case", "%s, disruption %v", os.Args[1], trouble)
	broken := cases[os.Args[1]]()
	stopAll()
	if broken {
		finish("BROKEN", 1)
	}
	finish("held", 0)
}

var finishOnce sync.Once

func finish(verdict string, code int) {
	finishOnce.Do(func() {
		logEvent("case", "verdict: %s", verdict)
		fmt.Println(os.Args[1]+":", verdict)
		recordMu.Lock()
		_ = record.Flush()
		_ = recordFile.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(tempDir)
		} else {
			fmt.Println("logs in", tempDir)
		}
		os.Exit(code)
	})
	select {}
}

// fail ends a case that could not run.
func fail(why string) {
	stopAll()
	logEvent("case", "%s", why)
	fmt.Println(why)
	finish("could not run", 2)
}

// logEvent writes a line to the record.
func logEvent(who, format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%9.3f %-12s %s\n", time.Since(began).Seconds(), who, fmt.Sprintf(format, arguments...))
}
