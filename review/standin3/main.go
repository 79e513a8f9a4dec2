// Command standin3 plays the cases of the third review: it starts the entry hosts as processes with the command of the
// deploy file, beside a store, workers and consumers of its own, all on loopback addresses. It exits with 1 if a rule was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/sassafraswind", "the program")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	keep := flag.String("keep", "", "directory for the logs of the hosts, a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *binary, *out, *keep, *trouble))
}

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

func play(name, binary, out, keep string, trouble bool) int {
	fn, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir := keep
	if dir == "" {
		tmp, err := os.MkdirTemp("", "review3-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(tmp) }()
		dir = tmp
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	w, err := newWorld(rec, binary, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.rule = rules[name]
	// A reader of the output that has gone must not end this process before it has ended the hosts.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- fn(w, trouble) }()
	select {
	case err = <-result:
	case <-signals:
		err = fmt.Errorf("stopped")
	case <-time.After(maxTime):
		err = fmt.Errorf("the case took too long")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case len(w.broken) > 0:
		for _, b := range w.broken {
			fmt.Println("broken:", b)
		}
		return 1
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
