package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const (
	heartbeat   = 1200 * time.Millisecond
	readyWithin = 20 * time.Second
	graceS      = 8
	frontPort   = 8625
	readyPort   = 8621
	controlPort = 8628
	peerPort    = 7740
)

// Deployment is the platform and the front machines.
type Deployment struct {
	Store    *cloud.Store
	Fronts   []*Front
	dir      string
	store    *http.Server
	address  string
	version  int
	runners  []*Runner
	stopping chan struct{}
}

// Front is one front machine with its process.
type Front struct {
	Name     string
	Address  string // for clients
	ready    string
	settings string
	log      *os.File
	process  *exec.Cmd
	ended    chan struct{}
}

// New starts the store. Close must be called.
func New() (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: cloud.NewStore(), dir: dir, stopping: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	d.address = listener.Addr().String()
	d.store = &http.Server{Handler: d.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.store.Serve(listener) }()
	return d, nil
}

// Close ends all processes and servers, and removes the temporary folder.
func (d *Deployment) Close() {
	close(d.stopping)
	for _, f := range d.Fronts {
		f.Kill()
		_ = f.log.Close()
	}
	for _, r := range d.runners {
		r.Kill()
	}
	_ = d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// Configure writes the next version of the configuration, as the operator does. The fields of a version are routes,
// services, limits and tenants.
func (d *Deployment) Configure(fields map[string]any) error {
	d.version++
	body := map[string]any{
		"version": d.version,
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for name, value := range fields {
		body[name] = value
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	d.Store.Put("keyed.op", "config", data)
	return nil
}

// Version is the newest version of the configuration.
func (d *Deployment) Version() int { return d.version }

// StartFronts starts the program on so many front machines, six at most, and waits until all are ready.
func (d *Deployment) StartFronts(count int) error {
	command, err := deployCommand()
	if err != nil {
		return err
	}
	pid := os.Getpid()
	for i := range count {
		// The process ID keeps the addresses of cases apart that run at the same time.
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>13&63, pid>>5&255, (pid&31)*8+i+1)
		f := &Front{Name: fmt.Sprintf("front-uy-sur-a-%d", i+1), Address: fmt.Sprintf("%s:%d", ip, frontPort),
			ready: fmt.Sprintf("%s:%d", ip, readyPort), settings: filepath.Join(d.dir, fmt.Sprintf("settings-%d.conf", i+1))}
		if err := os.WriteFile(f.settings, []byte(d.settingsOf(f.Name, ip)), 0o600); err != nil {
			return err
		}
		if f.log, err = os.Create(filepath.Join(d.dir, f.Name+".log")); err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, f)
		if err := f.start(command); err != nil {
			return err
		}
	}
	for _, f := range d.Fronts {
		if err := f.AwaitReady(readyWithin); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the settings file of a machine, like those of the smaller deployments.
func (d *Deployment) settingsOf(name, ip string) string {
	return strings.Join([]string{
		"node_name=" + name, "role=edge", "machine_class=front", "serves=front,control", "ip=" + ip,
		"zone=uy-sur-a", "region=uy-sur", "zones.uy-sur-a=uy-sur",
		fmt.Sprintf("listen.front=%s:%d", ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", ip, readyPort),
		fmt.Sprintf("listen.control=%s:%d", ip, controlPort), fmt.Sprintf("internal_ports=%d,%d", peerPort, peerPort+15),
		"seeds=", "bootstrap=true", "limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=284",
		"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip",
		fmt.Sprintf("heartbeat_ms=%d", heartbeat.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
		"bounds.contact_ms=3000", "bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", graceS), "bounds.loss_slack_ms=200",
		"bounds.config_propagation_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=5000",
		"bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=56", "bounds.recovery_s=12",
		"platform.address=" + d.address, "platform.form=log", "platform.writes_per_s=400", "platform.reads_per_s=2000", "",
	}, "\n")
}

// deployCommand returns the words of the command that the deploy file runs.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if found == nil {
		return nil, errors.New("the deploy file runs nothing")
	}
	return strings.Fields(string(found[1])), nil
}

func (f *Front) start(command []string) error {
	f.process = exec.Command(command[0], command[1:]...)
	f.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTHATCH_NODE_FILE=" + f.settings}
	f.process.Stdout, f.process.Stderr = f.log, f.log
	f.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process, however that ends
	if err := f.process.Start(); err != nil {
		return err
	}
	f.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(f.process, f.ended)
	return nil
}

// AwaitReady waits until the machine is ready, as the platform sees it.
func (f *Front) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + f.ready + "/ragworthatch/readiness")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.Name)
}

// Signal sends a signal to the process of the machine.
func (f *Front) Signal(s syscall.Signal) { _ = f.process.Process.Signal(s) }

// Ended is closed when the process has ended.
func (f *Front) Ended() <-chan struct{} { return f.ended }

// Kill ends the process at once.
func (f *Front) Kill() {
	if f.process == nil || f.process.Process == nil {
		return
	}
	_ = f.process.Process.Kill()
	<-f.ended
}
