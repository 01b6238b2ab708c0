// Command lab plays the cases of the review: it starts the programs of the project as separate
// processes with the commands of the deploy file, and clients, replicas and the platform's store as
// stand-ins in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. The argument tells whether the disruption takes place.
var cases = map[string]func(l *Lab, trouble bool) (exit int, err error){
	"idle-connections": idleConnections, "rolling-stop": rollingStop, "revocation": revocation,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// limit bounds a case.
const limit = 115 * time.Second

func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[name](l, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	got := result{exitNotRun, fmt.Errorf("case did not end in time")}
	select {
	case got = <-done:
	case <-time.After(limit):
	case <-signals:
	}
	if got.err != nil {
		l.note("not run: %v", got.err)
		fmt.Fprintln(os.Stderr, got.err)
	}
	l.note("exit %d", got.code)
	l.close()
	return got.code
}
