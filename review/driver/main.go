// Command driver runs one case of the review: it starts entry instances as separate processes, is
// itself the platform's store, the workers and the clients, and checks one rule from what they see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs; the whole case may take 120 seconds.
const caseTimeout = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	// violations describe how the rule was broken.
	violations []string
	// summary has the counts that the verdict is based on.
	summary string
}

// cases has the cases by name. trouble is false for the control run, which lacks the disruption.
var cases = map[string]func(e *environment, trouble bool) (verdict, error){
	"framing": caseFraming,
	"status":  caseStatus,
	"splice":  caseSplice,
	"silence": caseSilence,
}

func main() {
	name := flag.String("case", "", "the case to run")
	daemon := flag.String("daemon", "target/ridgehinged", "the program under test")
	recordFile := flag.String("record", "record.txt", "the file that the record is written to")
	flag.Parse()
	// The entry instances end with the thread that starts them.
	runtime.LockOSThread()
	os.Exit(run(*name, *daemon, *recordFile))
}

func run(name, daemon, recordFile string) int {
	runCase := cases[name]
	if runCase == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	program, err := filepath.Abs(daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	e, err := newEnvironment(program, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	log.SetFlags(0)
	log.SetOutput(recordWriter{e})
	timeout := time.AfterFunc(caseTimeout, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		e.close()
		os.Exit(exitNotRun)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		e.close()
		os.Exit(exitNotRun)
	}()
	e.record("case %s, trouble %t", name, trouble)
	result, err := runCase(e, trouble)
	timeout.Stop()
	e.record("%s", result.summary)
	for _, v := range result.violations {
		e.record("VIOLATION %s", v)
	}
	code := exitHeld
	switch {
	case err != nil:
		e.record("could not run: %v", err)
		fmt.Fprintf(os.Stderr, "could not run: %v\n", err)
		code = exitNotRun
	case len(result.violations) > 0:
		code = exitBroken
	}
	e.record("exit %d", code)
	e.close()
	fmt.Printf("case %s, trouble %t: %s; %d violations, exit %d\n", name, trouble, result.summary, len(result.violations), code)
	return code
}
