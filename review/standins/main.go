// Command standins plays the cases of the review that are scripts: it starts the program's entries as processes of their
// own, with stand-ins for the platform's store, runners and clients, all on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// playLimit is the longest time that a case may take.
const playLimit = 118 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// play is a case: it returns the breaks of the rule that it saw. With trouble false it does the same without the disruption.
type play func(d *deployment, trouble bool) (breaks int, err error)

var plays = map[string]play{
	"list":       playList,
	"memory":     playMemory,
	"proof":      playProof,
	"quarantine": playQuarantine,
	"resume":     playResume,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "root of the repository, with the program built as the deploy file says")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	keep := flag.Bool("keep", false, "keep the settings and logs of the processes")
	flag.Parse()
	os.Exit(run(*name, *root, *record, *trouble != "0", *keep))
}

func run(name, root, record string, trouble, keep bool) int {
	p, known := plays[name]
	rec, err := newRecorder(record)
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "can't play", name, err)
		return exitFailed
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return exitFailed
	}
	d, err := newDeployment(root, rec)
	if err != nil {
		rec.say("the case can't run: %v", err)
		return exitFailed
	}
	defer d.end(keep)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(playLimit):
		}
		rec.say("the case was ended")
		d.end(keep)
		os.Exit(exitFailed)
	}()
	breaks, err := p(d, trouble)
	switch {
	case err != nil:
		rec.say("the case can't run: %v", err)
		return exitFailed
	case breaks > 0:
		rec.say("the rule is broken: %d times", breaks)
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
