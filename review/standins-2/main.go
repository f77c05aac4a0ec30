// Command standins-2 plays the cases of the second review: it starts the program under test as separate processes, with
// stand-ins for the platform's store, the runners and the clients, all on loopback addresses.
//
// Usage: standins-2 CASE DIR, with the working directory at the root of the repository. It writes DIR/record.txt and exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
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

// cases are the plays by name. A play returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"late-extra": playLateExtra,
	"take-up":    playTakeUp,
	"late-beat":  playLateBeat,
	"short-body": playShortBody,
}

func main() {
	runtime.LockOSThread() // see endsWithParent
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE DIR")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	w := newWorld(record, os.Getenv("TROUBLE") != "0")
	defer w.close()
	stop := func(why string) {
		fmt.Fprintln(os.Stderr, why)
		w.close()
		os.Exit(exitNotRun)
	}
	watchdog := time.AfterFunc(115*time.Second, func() { stop("the case takes too long") })
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stop("the case was stopped")
	}()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
