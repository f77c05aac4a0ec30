package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
)

const (
	watchTime     = 17 * time.Second // after which an entry knows all versions whose streams may be taken up
	outOfStepTime = 2500 * time.Millisecond
	takenUp       = 30 // streams for each way to be out of step
	oldVersion    = "v0"
	newVersion    = "v1"
	engineOfNew   = 3 // index of the service that has the new version from the beginning
)

// outOfStep lists ways in which an entry, the leader or another one, misses for a moment what the others do.
var outOfStep = []struct {
	name       string
	leads      bool
	begin, end func(*environment, *entry)
}{
	{"frozen", false, freeze, thaw},
	{"cut from the store", false, cutStore(proxy.DropAll), cutStore(proxy.Clear)},
	{"turned away by the store", false, turnAway(storeRefuses), turnAway(storeWorks)},
	{"cut from the other entries", false, cutPeers(proxy.DropAll), cutPeers(proxy.Clear)},
	{"cut from all", false, cutAll(proxy.DropAll), cutAll(proxy.Clear)},
	{"frozen, and turned away by the store when it wakes", false, func(env *environment, e *entry) {
		e.storeFault.Store(storeRefuses)
		freeze(env, e)
	}, func(env *environment, e *entry) {
		thaw(env, e)
		time.Sleep(time.Second)
		e.storeFault.Store(storeWorks)
	}},
	{"the leader frozen", true, freeze, thaw},
	{"the leader cut from the other entries", true, cutPeers(proxy.DropAll), cutPeers(proxy.Clear)},
	{"the leader cut from all", true, cutAll(proxy.DropAll), cutAll(proxy.Clear)},
}

func freeze(_ *environment, e *entry) { e.Signal(syscall.SIGSTOP) }

func thaw(_ *environment, e *entry) { e.Signal(syscall.SIGCONT) }

func turnAway(f storeFault) func(*environment, *entry) {
	return func(_ *environment, e *entry) { e.storeFault.Store(f) }
}

func cutStore(m proxy.Mode) func(*environment, *entry) {
	return func(_ *environment, e *entry) { e.store.Set(m) }
}

// cutPeers sets the mode of all connections between an entry and the others.
func cutPeers(m proxy.Mode) func(*environment, *entry) {
	return func(env *environment, e *entry) {
		env.mu.Lock()
		defer env.mu.Unlock()
		for key, p := range env.peers {
			if reader, address, _ := strings.Cut(key, " "); reader == e.name || address == e.peer {
				p.Set(m)
			}
		}
	}
}

func cutAll(m proxy.Mode) func(*environment, *entry) {
	return func(env *environment, e *entry) {
		cutPeers(m)(env, e)
		cutStore(m)(env, e)
	}
}

// generate sends a request whose answer is a stream, and returns its status; 0 if there is none. It leaves after the
// events of the stream that it wants, or at the end.
func (e *entry) generate(id string, wants int, header ...string) int {
	ctx, leave := context.WithTimeout(context.Background(), 6*time.Second)
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+"/gen/x", strings.NewReader("prompt"))
	if err != nil {
		return 0
	}
	r.Host = "svc.example"
	header = append(header, "Request-Id", id, "Credential", "key-one", "Deadline-Ms", "5000", "Model", "m",
		"Token-Counts", "100,10", "Prompt-Prefix", "a:50,"+id+":50", "Pieces", "2,1", "Piece-Key", id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer got.Body.Close()
	var text strings.Builder
	for buffer := make([]byte, 256); err == nil && strings.Count(text.String(), "\n\n") < wants; {
		var n int
		n, err = got.Body.Read(buffer)
		text.Write(buffer[:n])
	}
	return got.StatusCode
}

// versionOf returns the versions of the engines that ran a request.
func (env *environment) versionOf(id string) []string {
	var out []string
	for _, s := range env.services {
		for _, u := range s.allLifetimes() {
			if s.pool == "engines" && u.RunCount(id) > 0 {
				out = append(out, u.Version)
			}
		}
	}
	return out
}

// An entry is out of step while the first engines of a new version join. Streams that begin at these through another
// entry are taken up at this one, in that time and just after it, and go on at no other version.
func TestStreamsTakenUpAtAnEntryOutOfStepKeepTheirVersion(t *testing.T) {
	for _, way := range outOfStep {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newEnvironment(c, 0)
			env.unlist(env.services[engineOfNew])
			s := &soak{env: env, c: c}
			for i := range 3 { // the first one leads, as it is the oldest
				env.addEntry(i)
				s.waitReady(startLimit)
			}
			time.Sleep(watchTime)
			other, late := env.entries[1], env.entries[2]
			if way.leads {
				late = env.entries[0]
			}
			c.Assert(late.generate("before", tokens), qt.Equals, http.StatusOK)
			began := time.Now()
			way.begin(env, late)
			env.release()
			var mu sync.Mutex
			counts := map[string]int{}
			var callers sync.WaitGroup
			for i := range takenUp {
				callers.Go(func() {
					// The last ones are taken up after the entry is in step again.
					time.Sleep(time.Duration(i) * (outOfStepTime + 500*time.Millisecond) / takenUp)
					first, again := fmt.Sprint("first-", i), fmt.Sprint("again-", i)
					other.generate(first, 2)
					version := env.versionOf(first)
					status := late.generate(again, tokens, "Resumes", first, "Last-Event-Id", "2")
					mu.Lock()
					defer mu.Unlock()
					switch after := env.versionOf(again); {
					case len(version) != 1:
						counts["did not begin"]++
					case len(after) == 0:
						counts[fmt.Sprintf("%s not taken up, status %d", version[0], status)]++
					default:
						counts[fmt.Sprintf("%s went on", version[0])]++
						for _, v := range after {
							c.Check(v, qt.Equals, version[0], qt.Commentf("%s, %v after the entry was out of step", again, time.Since(began)))
						}
					}
				})
			}
			time.Sleep(outOfStepTime)
			way.end(env, late)
			callers.Wait()
			c.Logf("%v", counts)
			seen := 0
			for what, n := range counts {
				if strings.HasPrefix(what, newVersion) {
					seen += n
				}
			}
			c.Check(seen >= takenUp/3, qt.IsTrue, qt.Commentf("the test needs streams of the new version"))
		})
	}
}

// listEngines sets the state of the engines of a version of their software.
func (env *environment) listEngines(version, state string) {
	for _, s := range env.services {
		if s.pool == "engines" && s.current.Load().Version == version {
			env.list(s, state)
		}
	}
}

// release adds engines of the new version, and drains those of the old one.
func (env *environment) release() {
	for i := range 2 {
		env.addService("engines", zoneNames[0], 3+2*i, shape{work: 40 * time.Millisecond, events: tokens, gap: 30 * time.Millisecond})
	}
	env.listEngines(oldVersion, "draining")
}
