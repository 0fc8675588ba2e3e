package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){
	"behind":   runBehind,
	"crasher":  runCrasher,
	"continue": runContinue,
	"uploads":  runUploads,
}

// caseRun is one run of a case.
type caseRun struct {
	product string
	record  *record
	// trouble is false if the case runs without its disruption.
	trouble bool
}

func main() {
	product := flag.String("product", "target/oriolecourse", "the program of the product")
	path := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	flag.Parse()
	run, known := cases[flag.Arg(0)]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(notRun)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		endAll()
		os.Exit(notRun)
	}()
	broken, err := run(&caseRun{product: *product, record: r, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		r.say("NOT RUN %v", err)
		os.Exit(notRun)
	case broken:
		r.say("BROKEN")
		os.Exit(ruleBroken)
	}
	r.say("HELD")
	os.Exit(ruleHeld)
}
