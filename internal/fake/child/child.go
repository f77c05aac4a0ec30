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

// Child is one process of the program, which may end and be started again; it is safe for concurrent use.
type Child struct {
	args []string
	log  *os.File
	mu   sync.Mutex
	life *life
}

// life is one run of the process.
type life struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// New returns a child that is not started; its output is appended to the log file.
func New(log *os.File, args ...string) *Child {
	return &Child{log: log, args: args}
}

// Start starts the process.
func (c *Child) Start() error {
	program, err := Build()
	if err != nil {
		return err
	}
	l := &life{cmd: exec.Command(program, c.args...), ended: make(chan struct{})}
	l.cmd.Stdout, l.cmd.Stderr = c.log, c.log
	if err := l.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = l.cmd.Wait()
		close(l.ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life = l
	return nil
}

// present is the newest run; there is none before Start.
func (c *Child) present() *life {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life
}

// Signal sends a signal; it does nothing after the end of the process.
func (c *Child) Signal(s syscall.Signal) { _ = c.present().cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.present().ended }

// Kill ends the process at once, also when it is paused.
func (c *Child) Kill() {
	l := c.present()
	_ = l.cmd.Process.Kill()
	<-l.ended
}

// Stop asks for a graceful shutdown and returns the exit code; -1 after a signal.
func (c *Child) Stop() int {
	l := c.present()
	_ = l.cmd.Process.Signal(syscall.SIGTERM)
	<-l.ended
	return l.cmd.ProcessState.ExitCode()
}
