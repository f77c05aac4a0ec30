package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an entry, on its own loopback address.
const (
	frontPort   = 8625
	readyPort   = 8621
	controlPort = 8628
)

// entry is one process of the program: the role edge of the deploy file, with the settings that the platform writes.
type entry struct {
	name     string
	ip       string
	zone     string
	root     string // of the repository, in which the program starts
	settings string // path of the settings file
	text     string // of the settings at the first start
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
	closed  bool // the case is over, so the process must not start again
}

// bounds are the figures of a site's sheet that the scripts use.
type bounds struct {
	drainMs, contactMs, configMs, graceS, budgetSlack int
	cpuShare                                          float64
	region                                            string
	zones                                             []string
}

// The bounds of the sheets of remanentes-norte and frasco-mvd, which are the same, and of remanentes-norte-grown.
var (
	remanentes = bounds{drainMs: 2000, contactMs: 3000, configMs: 2000, graceS: 8, budgetSlack: 56, cpuShare: 0.304,
		region: "norte-es", zones: []string{"burgos-a", "bilbao-b", "santander-c"}}
	frasco = bounds{drainMs: 2000, contactMs: 3000, configMs: 2000, graceS: 8, budgetSlack: 56, cpuShare: 0.304,
		region: "uy-sur", zones: []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}}
	grown = bounds{drainMs: 3000, contactMs: 4000, configMs: 3000, graceS: 8, budgetSlack: 90, cpuShare: 0.304,
		region: "norte-es", zones: []string{"burgos-a", "bilbao-b", "santander-c"}}
)

// newEntry writes the settings of an entry. seeds holds the control addresses of the first three.
func newEntry(root, dir, name, ip, zone, storeAddress, seeds string, b bounds) (*entry, error) {
	e := &entry{name: name, ip: ip, zone: zone, root: root, settings: filepath.Join(dir, name+".conf")}
	var zones strings.Builder
	for _, z := range b.zones {
		fmt.Fprintf(&zones, "zones.%s=%s\n", z, b.region)
	}
	e.text = fmt.Sprintf(`node_name=%s
role=edge
machine_class=front
serves=front,control
ip=%s
zone=%s
region=%s
%slisten.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
internal_ports=7740,7755
seeds=%s
bootstrap=true
counts_in_tolerance=false
limits.cpu_share=%g
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
bounds.contact_ms=%d
bounds.drain_ms=%d
bounds.grace_s=%d
bounds.config_propagation_ms=%d
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=%d
platform.address=%s
platform.form=log
platform.writes_per_s=1200
platform.reads_per_s=6000
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
`, name, ip, zone, b.region, zones.String(), ip, frontPort, ip, readyPort, ip, controlPort, seeds, b.cpuShare, b.contactMs, b.drainMs, b.graceS,
		b.configMs, b.budgetSlack, storeAddress)
	var err error
	e.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return e, err
}

// front is the address for callers.
func (e *entry) front() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// start starts the process with the command of the deploy file. It ends with this one, however this one ends.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return errors.New("the case is over")
	}
	text := e.text
	if e.cmd != nil { // only the first start is one of the whole system
		text = strings.Replace(text, "bootstrap=true", "bootstrap=false", 1)
	}
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/ragworthatch", "edge", "--metricsPort", "9464")
	cmd.Dir = e.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTHATCH_NODE_FILE=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.cmd, e.ended, e.started = cmd, ended, time.Now()
	return nil
}

// pid returns the ID of the process.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// close kills the process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// awaitEnd waits until the process has ended, and kills it after d.
func (e *entry) awaitEnd(d time.Duration) {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(d):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}

// isReady asks the process whether it is ready, as the balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/ragworthatch/readiness", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (e *entry) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", e.name, d)
}
