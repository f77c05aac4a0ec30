package main

import (
	"os"
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAnEarlyHangupDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err := command.CombinedOutput()
	c.Assert(err, qt.IsNil)
	c.Check(string(output), qt.Matches, `(?s).*\ninit os/signal @[^\n]*\ninit [^\n]*/internal/ops/hangup @.*`,
		qt.Commentf("the signal is handled as soon as signals can be"))
}
