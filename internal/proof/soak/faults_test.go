package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
)

const (
	shortest      = 200 * time.Millisecond // that a fault lasts
	longest       = 3 * time.Second
	perSecond     = 1.6                    // faults, with three entries
	troubleMargin = 700 * time.Millisecond // around a stop of a process, in which it may miss what it should do
	drainWithin   = 2 * time.Second        // of the settings
)

// fault is one thing that goes wrong from a moment on.
type fault struct {
	at, lasts time.Duration
	name      string
	run       func(lasts time.Duration)
}

// modes are those of a cable that misbehaves.
var modes = []proxy.Mode{proxy.Slow, proxy.DropToServer, proxy.DropToClient, proxy.DropAll}

// plan draws the faults of a soak. All draws are made here, so that a seed means the same faults.
func (s *soak) plan(random *rand.Rand, total time.Duration) []fault {
	var out []fault
	kinds := []func(r *rand.Rand) (string, func(time.Duration)){
		s.killEntry, s.pauseEntry, s.pauseEntry, s.stopEntry, s.stopEntry, s.reloadEntry, s.killTwo,
		s.storeAway, s.storeTreats, s.storeTreats, s.storeTrims, s.storeCable, s.peerCables, s.peerCables, s.serviceCable, s.serviceCable,
		s.serviceDies, s.serviceDrains, s.serviceActs, s.serviceActs, s.serviceActs, s.configChanges, s.configChanges,
	}
	rate := perSecond * float64(len(s.w.entries)) / 3
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at > total.Seconds() {
			return out
		}
		name, run := kinds[random.IntN(len(kinds))](random)
		lasts := shortest + time.Duration(random.Float64()*float64(longest-shortest))
		out = append(out, fault{at: time.Duration(at * float64(time.Second)), lasts: lasts, name: name, run: run})
	}
}

// soak plays faults on a world.
type soak struct {
	w        *world
	c        *qt.C
	busy     sync.Map // entries and services that a fault has for itself
	mu       sync.Mutex
	store    []span // the store, or the way to it or to a leader, is disturbed
	drained  []drained
	problems []string
}

// drained is an upstream that was listed as leaving.
type drained struct {
	up *cloud.Upstream
	at time.Time
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// play runs the faults and returns when all have ended.
func (s *soak) play(faults []fault) {
	begun := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(time.Until(begun.Add(f.at)))
			s.c.Logf("%7.3f for %.3f: %s", f.at.Seconds(), f.lasts.Seconds(), f.name)
			f.run(f.lasts)
		})
	}
	wg.Wait()
}

// alone runs f unless another fault has the target.
func (s *soak) alone(target any, f func()) {
	if _, taken := s.busy.LoadOrStore(target, true); taken {
		return
	}
	defer s.busy.Delete(target)
	f()
}

// disturbed marks the store as disturbed until the end.
func (s *soak) disturbed() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.store)
	s.store = append(s.store, span{from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store[i].to = time.Now()
	}
}

func (s *soak) entry(r *rand.Rand) *entry     { return s.w.entries[r.IntN(len(s.w.entries))] }
func (s *soak) service(r *rand.Rand) *service { return s.w.services[r.IntN(len(s.w.services))] }

func (s *soak) killEntry(r *rand.Rand) (string, func(time.Duration)) {
	e := s.entry(r)
	return "kill " + e.name, func(lasts time.Duration) { s.alone(e, func() { s.kill(e, lasts) }) }
}

func (s *soak) kill(e *entry, lasts time.Duration) {
	defer s.disturbed()()
	defer e.begin(&e.troubles)()
	e.Kill()
	time.Sleep(lasts)
	if err := e.Start(); err != nil {
		s.problem("%s does not start: %v", e.name, err)
	}
}

func (s *soak) killTwo(r *rand.Rand) (string, func(time.Duration)) {
	one, two := s.entry(r), s.entry(r)
	return "kill " + one.name + " and " + two.name, func(lasts time.Duration) {
		var wg sync.WaitGroup
		for _, e := range []*entry{one, two} {
			wg.Go(func() { s.alone(e, func() { s.kill(e, lasts) }) })
		}
		wg.Wait()
	}
}

func (s *soak) pauseEntry(r *rand.Rand) (string, func(time.Duration)) {
	e := s.entry(r)
	return "pause " + e.name, func(lasts time.Duration) {
		s.alone(e, func() {
			defer s.disturbed()()
			defer e.begin(&e.troubles)()
			e.Signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			e.Signal(syscall.SIGCONT)
		})
	}
}

func (s *soak) stopEntry(r *rand.Rand) (string, func(time.Duration)) {
	e := s.entry(r)
	return "stop " + e.name, func(lasts time.Duration) {
		s.alone(e, func() {
			end := e.begin(&e.stops)
			begun := time.Now()
			code := e.Stop()
			end()
			if took := time.Since(begun); code != 0 || took > grace {
				s.problem("%s ended with code %d after %v", e.name, code, took)
			}
			time.Sleep(lasts / 4)
			if err := e.Start(); err != nil {
				s.problem("%s does not start: %v", e.name, err)
			}
		})
	}
}

// reloadEntry changes the settings file, to one that can't be read in half of the cases, and back.
func (s *soak) reloadEntry(r *rand.Rand) (string, func(time.Duration)) {
	e, more := s.entry(r), "\nbounds.drain_ms=1900"
	if r.IntN(2) == 0 {
		more = "\nzone="
	}
	return "reload " + e.name, func(lasts time.Duration) {
		// Alone, as a process that starts with settings that can't be read does not start.
		s.alone(e, func() {
			for _, text := range []string{e.text + more, e.text} {
				if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
					s.problem("settings: %v", err)
				}
				e.Signal(syscall.SIGHUP)
				time.Sleep(lasts / 2)
			}
		})
	}
}

func (s *soak) storeAway(*rand.Rand) (string, func(time.Duration)) {
	return "store away", func(lasts time.Duration) {
		defer s.disturbed()()
		s.w.store.SetStatus(http.StatusServiceUnavailable)
		time.Sleep(lasts)
		s.w.store.SetStatus(0)
	}
}

func (s *soak) storeTreats(r *rand.Rand) (string, func(time.Duration)) {
	e, how := s.entry(r), []storeFault{storeRefuses, storeLoses}[r.IntN(2)]
	return fmt.Sprintf("store %s %s", how, e.name), func(lasts time.Duration) {
		defer s.disturbed()()
		e.storeFault.Store(how)
		time.Sleep(lasts)
		e.storeFault.Store(storeWorks)
	}
}

func (s *soak) storeTrims(*rand.Rand) (string, func(time.Duration)) {
	return "store trims", func(time.Duration) {
		for _, topic := range []string{topicRules, topicHosts, topicMembers} {
			s.w.store.Trim(topic)
		}
	}
}

func (s *soak) storeCable(r *rand.Rand) (string, func(time.Duration)) {
	e, mode := s.entry(r), modes[r.IntN(len(modes))]
	return fmt.Sprintf("%s from %s to the store", mode, e.name), func(lasts time.Duration) {
		defer s.disturbed()()
		e.store.Set(mode)
		time.Sleep(lasts)
		e.store.Set(proxy.Clear)
	}
}

func (s *soak) peerCables(r *rand.Rand) (string, func(time.Duration)) {
	e, mode := s.entry(r), modes[r.IntN(len(modes))]
	return fmt.Sprintf("%s from %s to other entries", mode, e.name), func(lasts time.Duration) {
		defer s.disturbed()()
		all := s.w.peerCables(e)
		for _, c := range all {
			c.Set(mode)
		}
		time.Sleep(lasts)
		for _, c := range all {
			c.Set(proxy.Clear)
		}
	}
}

func (s *soak) serviceCable(r *rand.Rand) (string, func(time.Duration)) {
	v, mode := s.service(r), modes[r.IntN(len(modes))]
	reset := r.IntN(3) == 0
	return fmt.Sprintf("%s to %s, reset %t", mode, v.name, reset), func(lasts time.Duration) {
		if reset {
			v.cable.Reset()
			return
		}
		v.cable.Set(mode)
		time.Sleep(lasts)
		v.cable.Set(proxy.Clear)
	}
}

// serviceDies ends a lifetime without notice; another one begins at the same address.
func (s *soak) serviceDies(r *rand.Rand) (string, func(time.Duration)) {
	v, life := s.service(r), int(r.Int32())
	return v.name + " dies", func(lasts time.Duration) {
		s.alone(v, func() {
			v.down.Store(true)
			v.cable.Reset()
			time.Sleep(lasts / 2)
			s.w.unlist(v)
			time.Sleep(lasts / 2)
			v.renew(life)
			v.down.Store(false)
			s.w.list(v, "ready")
		})
	}
}

// serviceDrains lists a lifetime as leaving, then ends it.
func (s *soak) serviceDrains(r *rand.Rand) (string, func(time.Duration)) {
	v, life := s.service(r), int(r.Int32())
	return v.name + " drains", func(lasts time.Duration) {
		s.alone(v, func() {
			s.w.list(v, "draining")
			s.mu.Lock()
			s.drained = append(s.drained, drained{up: v.current.Load(), at: time.Now()})
			s.mu.Unlock()
			time.Sleep(drainWithin + lasts)
			s.w.unlist(v)
			v.renew(life)
			s.w.list(v, "ready")
		})
	}
}

// serviceActs makes an upstream fail in one way while it looks sound.
func (s *soak) serviceActs(r *rand.Rand) (string, func(time.Duration)) {
	names := []string{"loses answers", "cuts answers", "mixes answers up", "is slow", "refuses"}
	acts := []action{loseAnswer, cutAnswer, mixAnswer, slowDown, refuse}
	v, i := s.service(r), r.IntN(len(acts))
	return v.name + " " + names[i], func(lasts time.Duration) {
		v.act.Store(&acts[i])
		time.Sleep(lasts / 2)
		v.act.Store(nil)
	}
}

func loseAnswer(u *cloud.Upstream, _ http.ResponseWriter, r *http.Request) bool {
	u.CountRun(r.Header.Get("Request-Id"))
	panic(http.ErrAbortHandler)
}

func cutAnswer(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool {
	u.CountRun(r.Header.Get("Request-Id"))
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("id: 1\ndata: half"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func mixAnswer(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool {
	u.CountRun(r.Header.Get("Request-Id"))
	w.Header().Set("Request-Id", "foreign")
	_, _ = w.Write([]byte("foreign"))
	return true
}

func slowDown(*cloud.Upstream, http.ResponseWriter, *http.Request) bool {
	time.Sleep(700 * time.Millisecond)
	return false
}

func refuse(_ *cloud.Upstream, w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (s *soak) configChanges(*rand.Rand) (string, func(time.Duration)) {
	return "configuration changes", func(time.Duration) {
		for range 3 {
			s.w.publish()
			time.Sleep(shortest / 3)
		}
	}
}
