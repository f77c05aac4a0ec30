package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// deployment is what a script starts: the store, the runners and the entries, each at loopback addresses of a free block.
type deployment struct {
	rec     *recorder
	dir     string // temporary
	root    string // of the repository
	block   string // 127.x.y, whose addresses nothing else uses
	store   *store
	runners []*runner
	entries []*entry
}

// newDeployment finds a free block of loopback addresses and starts the store.
func newDeployment(root string, rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, root: root}
	for try := range 50 {
		block := fmt.Sprintf("127.%d.%d", 32+(os.Getpid()+try)%200, 1+(os.Getpid()/200)%250)
		if isFree(block + ".1:9464") {
			d.block = block
			break
		}
	}
	if d.block == "" {
		return nil, fmt.Errorf("no free block of loopback addresses")
	}
	d.store, err = newStore(d.block + ".250:8624")
	return d, err
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// addRunner starts a runner of a service; its address follows from its number.
func (d *deployment) addRunner(service, zone string, slots int, engine bool) (*runner, error) {
	n := len(d.runners)
	r := &runner{id: "i-" + randomHex(5), service: service, zone: zone, slots: slots, engine: engine, store: d.store, rec: d.rec,
		address: fmt.Sprintf("%s.%d:%d", d.block, 100+n%100, 8743+n/100)}
	r.serve = r.plainService(30 * time.Millisecond)
	d.runners = append(d.runners, r)
	return r, r.start()
}

// configure writes a configuration, as the operator does.
func (d *deployment) configure(config map[string]any) {
	value, _ := json.Marshal(config)
	d.store.put("keyed.op", "config", value)
}

// startEntries starts entries one after the other, so that the first one is the oldest, and waits until each is ready.
func (d *deployment) startEntries(n int, b bounds) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.block, 1+i, controlPort))
	}
	for i := range n {
		e, err := newEntry(d.root, d.dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", d.block, 1+i), b.zones[i%3],
			d.store.address, strings.Join(seeds, ","), b)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := e.start(); err != nil {
			return err
		}
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
		d.rec.say("%s is ready", e.name)
	}
	return nil
}

// end ends all processes and servers of the deployment and removes its files.
func (d *deployment) end(keep bool) {
	for _, e := range d.entries {
		e.close()
	}
	for _, e := range d.entries {
		e.awaitEnd(5 * time.Second)
	}
	for _, r := range d.runners {
		r.end()
	}
	if d.store != nil {
		_ = d.store.server.Close()
	}
	if keep {
		fmt.Println("files in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
