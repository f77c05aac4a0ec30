package hangup_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/hangup"
)

// child says what the process does before it sends SIGHUP to itself.
const child = "RAGWORTHATCH_HANGUP_TEST"

func TestMain(m *testing.M) {
	switch os.Getenv(child) {
	case "":
		os.Exit(m.Run())
	case "reset":
		hangup.Reset()
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
}

func TestReset(t *testing.T) {
	c := qt.New(t)
	run := func(what string) error {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), child+"="+what)
		return command.Run()
	}
	c.Check(run("nothing"), qt.IsNil)
	c.Check(run("reset"), qt.ErrorMatches, "signal: hangup")
}
