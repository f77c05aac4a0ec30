package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

const command = "github.com/ragworthatch/ragworthatch/cmd/ragworthatch"

// Build makes the program once for all tests of a package, and returns its path.
var Build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ragworthatch")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "ragworthatch")
	out, err := exec.Command("go", "build", "-o", program, command).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// Clean removes the program.
func Clean() {
	if program, err := Build(); err == nil {
		os.RemoveAll(filepath.Dir(program))
	}
}

// Child is one process of the program, which may end and be started again.
type Child struct {
	args  []string
	env   []string
	log   *os.File
	cmd   *exec.Cmd
	ended chan struct{}
}

// New returns a child that is not started; its output is appended to the log file.
func New(log *os.File, env []string, args ...string) *Child {
	return &Child{log: log, env: env, args: args}
}

// Start starts the process.
func (c *Child) Start() error {
	program, err := Build()
	if err != nil {
		return err
	}
	c.cmd = exec.Command(program, c.args...)
	c.cmd.Env = append(os.Environ(), c.env...)
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	if err := c.cmd.Start(); err != nil {
		return err
	}
	c.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(c.cmd, c.ended)
	return nil
}

// Signal sends a signal; it does nothing after the end of the process.
func (c *Child) Signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Code is the exit code after the end; -1 after a signal.
func (c *Child) Code() int {
	<-c.ended
	return c.cmd.ProcessState.ExitCode()
}

// Kill ends the process at once, also when it is paused.
func (c *Child) Kill() {
	c.Signal(syscall.SIGKILL)
	<-c.ended
}

// Stop asks for a graceful shutdown and returns the exit code.
func (c *Child) Stop() int {
	c.Signal(syscall.SIGTERM)
	return c.Code()
}
