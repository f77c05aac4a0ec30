package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// command is the one of the deploy file.
var command = []string{"target/ragworthatch", "edge", "--metricsPort", "9464"}

// world holds what a case starts.
type world struct {
	trouble bool
	start   time.Time
	dir     string // temporary, for settings and logs
	store   *cloud.Store
	address string // of the store

	mu     sync.Mutex
	record io.Writer
	edges  []*edge
	closed bool
}

// edge is one process of the program under test.
type edge struct {
	name, ip, front, ready string
	settings               string // path of the file
	cmd                    *exec.Cmd
	log                    *os.File
}

func newWorld(record io.Writer, trouble bool) *world {
	w := &world{trouble: trouble, start: time.Now(), record: record, store: cloud.NewStore()}
	w.note("trouble: %v", trouble)
	return w
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// startStore serves the platform's store.
func (w *world) startStore() error {
	dir, err := os.MkdirTemp("", "review-2")
	if err != nil {
		return err
	}
	w.dir = dir
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return nil
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(config any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", value)
	return nil
}

// server is the entry of a runner in the list of servers.
type server struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int64  `json:"sequence"`
	Born     int64  `json:"born"`
}

// putServer writes the entry of a runner as the runner does.
func (w *world) putServer(id string, s server) {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	w.store.Put("keyed.servers", id, value)
}

// freeIP returns a loopback address on which no port that an edge uses is taken.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{8621, 8625, 7740, 7741, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

// endsWithParent makes a process end with the one that starts it, also if that is killed. The kernel watches the thread that
// starts it, so only the main goroutine may, which main keeps on its thread.
func endsWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

// startEdges starts so many edges with settings like those of the small sites, and waits until they are ready.
func (w *world) startEdges(n int) error {
	if _, err := os.Stat(command[0]); err != nil {
		return fmt.Errorf("the program is not built: %w", err)
	}
	for i := range n {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		e := &edge{name: fmt.Sprintf("front-a-%d", i+1), ip: ip, front: ip + ":8625", ready: ip + ":8621"}
		e.settings = filepath.Join(w.dir, e.name+".conf")
		text := fmt.Sprintf(`node_name=%s
role=edge
machine_class=front
serves=front,control
ip=%s
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=%s
listen.ready=%s
listen.control=%s:8628
internal_ports=7740,7755
bootstrap=true
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_propagation_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=56
platform.address=%s
platform.form=log
`, e.name, ip, e.front, e.ready, ip, w.address)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if e.log, err = os.Create(filepath.Join(w.dir, e.name+".log")); err != nil {
			return err
		}
		e.cmd = exec.Command(command[0], command[1:]...)
		e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTHATCH_NODE_FILE=" + e.settings}
		e.cmd.Stdout, e.cmd.Stderr, e.cmd.SysProcAttr = e.log, e.log, endsWithParent()
		if err := e.cmd.Start(); err != nil {
			return err
		}
		w.mu.Lock()
		w.edges = append(w.edges, e)
		w.mu.Unlock()
	}
	client := &http.Client{Timeout: time.Second}
	for _, e := range w.edges {
		if err := awaitReady(client, e); err != nil {
			return err
		}
		w.note("%s is ready at %s", e.name, e.front)
	}
	return nil
}

// restart starts the process of an edge that has ended again. It is no longer the first start of the whole system.
func (w *world) restart(e *edge) error {
	text, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	text = []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1))
	if err := os.WriteFile(e.settings, text, 0o600); err != nil {
		return err
	}
	next := exec.Command(command[0], command[1:]...)
	next.Env, next.Stdout, next.Stderr, next.SysProcAttr = e.cmd.Env, e.log, e.log, endsWithParent()
	if err := next.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.cmd = next
	return nil
}

func awaitReady(client *http.Client, e *edge) error {
	for range 100 {
		answer, err := client.Get("http://" + e.ready + "/ragworthatch/readiness")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", e.name)
}

// close ends all processes that the case started, and notes what they logged of errors.
func (w *world) close() {
	w.mu.Lock()
	edges, closed := w.edges, w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return
	}
	for _, e := range edges {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
		_ = e.log.Close()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			data, _ := os.ReadFile(e.log.Name())
			_ = os.WriteFile(filepath.Join(keep, e.name+".log"), data, 0o600)
		}
	}
	if strings.Contains(w.dir, "review-2") {
		_ = os.RemoveAll(w.dir)
	}
}
