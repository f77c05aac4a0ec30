package child

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	commandPackage = "github.com/ragworthatch/ragworthatch/cmd/ragworthatch"
	startBytes     = 64 << 10 // of the output of a start: the trace of package initializations, and the first lines
	startPoll      = time.Millisecond
)

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
	from  int64 // offset of its output in the log
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
	r.cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1") // for AwaitStart
	info, err := c.log.Stat()
	if err != nil {
		return err
	}
	r.from = info.Size()
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

// AwaitStart waits until the process handles SIGHUP, for d at most. Before that, while Go's runtime starts, no program can
// keep one from ending it.
func (c *Child) AwaitStart(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !c.hasWritten("/internal/ops/hangup @"); {
		time.Sleep(startPoll)
	}
}

// Serves reports whether the process has begun to serve. It handles SIGTERM then.
func (c *Child) Serves() bool { return c.hasWritten(`"message":"start"`) }

// hasWritten reports whether the process has written a text since its start.
func (c *Child) hasWritten(text string) bool {
	output := make([]byte, startBytes)
	n, _ := c.log.ReadAt(output, c.latestRun().from)
	return bytes.Contains(output[:n], []byte(text))
}

// PeakMemoryMB returns the most memory that the process has used since its start, in MB; 0 if it is not known.
func (c *Child) PeakMemoryMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.latestRun().cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := bytes.Cut(status, []byte("VmHWM:"))
	var kb float64
	_, _ = fmt.Sscan(string(after), &kb)
	return kb / 1000
}

// PID returns the process ID of the latest run.
func (c *Child) PID() int { return c.latestRun().cmd.Process.Pid }

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
