// Command rig plays the cases of the review that are scripts: it starts the project's program as
// separate processes on loopback addresses, with stand-ins for the platform's store, upstreams
// and clients, and judges what these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// rig is one run of a case.
type rig struct {
	*site
	// trouble means that the disruption is played.
	trouble bool
	group   sync.WaitGroup
}

var cases = map[string]func(ctx context.Context, r *rig) error{
	"second-answer": secondAnswers,
	"pipelined":     pipelined,
	"waiting":       waiting,
	"removed":       removed,
}

func main() {
	os.Exit(play())
}

func play() int {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/oriolecourse", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	keep := flag.Bool("keep", false, "whether the logs of the processes are kept")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return couldNot
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if !*keep {
		defer os.RemoveAll(folder)
	}
	record := newRecord()
	s, err := newSite(folder, *program, record)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
		r := &rig{site: s, trouble: *trouble}
		err = run(ctx, r)
		cancel()
		r.group.Wait()
		s.close()
	}
	status, result := held, "the rule held"
	switch {
	case err != nil:
		status, result = couldNot, "the case could not run: "+err.Error()
	case record.breaches() > 0:
		status, result = broken, fmt.Sprintf("the rule was broken %d times", record.breaches())
	}
	if err := record.write(*path, result); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	fmt.Println(result)
	if *keep {
		fmt.Println("logs in", folder)
	}
	return status
}

// startAll starts all instances and waits until they are ready and the clients' traffic may begin.
func (r *rig) startAll() error {
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
