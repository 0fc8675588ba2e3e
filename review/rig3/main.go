package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a script.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	minArgs = 3
)

// cases holds the cases by number. Each returns whether the rule was broken; an error means
// that the case could not run. The disruption is left out unless trouble is set.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"refusal": ownRefusal,
	"weights": largeWeights,
	"foreign": foreignEntry,
	"upload":  slowUpload,
	"linger":  slowReader,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != minArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return notRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.stop()
	wasBroken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("result   not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case wasBroken:
		rec.line("result   broken")
		fmt.Println("broken")
		return broken
	}
	rec.line("result   held")
	fmt.Println("held")
	return held
}
