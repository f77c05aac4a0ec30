package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

const commandPackage = "github.com/ragworthatch/ragworthatch/cmd/ragworthatch"

// Build compiles the program once for all tests of a package and returns its path.
var Build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ragworthatch")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "ragworthatch")
	out, err := exec.Command("go", "build", "-o", program, commandPackage).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// Clean removes the compiled program; without an earlier Build it builds it first.
func Clean() {
	if program, err := Build(); err == nil {
		os.RemoveAll(filepath.Dir(program))
	}
}

// Child is a process of the program, which may end and be started again; its methods are safe for concurrent use.
type Child struct {
	args   []string
	log    *os.File
	mu     sync.Mutex
	latest *run // nil before Start
}

// run is one run of the process.
type run struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// New returns a child that is not started; it writes its output to the log file.
func New(log *os.File, args ...string) *Child {
	return &Child{log: log, args: args}
}

// Start builds the program if needed and starts the process.
func (c *Child) Start() error {
	program, err := Build()
	if err != nil {
		return err
	}
	r := &run{cmd: exec.Command(program, c.args...), ended: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr = c.log, c.log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = r
	return nil
}

// latestRun returns the run that Start began last, or nil before Start.
func (c *Child) latestRun() *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// Signal sends a signal; it does nothing if the process has ended.
func (c *Child) Signal(s syscall.Signal) { _ = c.latestRun().cmd.Process.Signal(s) }

// Ended returns a channel that is closed when the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.latestRun().ended }

// Kill ends the process at once, even if it is paused, and waits for its end.
func (c *Child) Kill() {
	r := c.latestRun()
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// Stop asks for a graceful shutdown, waits for it and returns the exit code; -1 means that a signal ended the process.
func (c *Child) Stop() int {
	r := c.latestRun()
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	<-r.ended
	return r.cmd.ProcessState.ExitCode()
}
