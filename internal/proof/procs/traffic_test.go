package procs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/demo/tally"
	"github.com/ragworthatch/ragworthatch/internal/demo/world"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

const (
	callers     = 12
	startLimit  = 60 * time.Second // until the processes are ready
	maxSends    = 40               // of one request
	resendDelay = 100 * time.Millisecond
)

// traffic is a group of callers that send requests until stopped and resend each one until it has an answer.
type traffic struct {
	f          *fleet
	caller     *caller.Caller
	tally      tally.Tally
	sent       atomic.Int64
	cutOff     atomic.Int64 // sends whose answer has no end
	mayHaveRun atomic.Int64 // sends told mayHaveRun
	stop       chan struct{}
	wg         sync.WaitGroup
	mu         sync.Mutex
	uncertain  []string // the first sends told mayHaveRun
}

// maxUncertain bounds the number of sends told mayHaveRun that are described in the log.
const maxUncertain = 5

func (tr *traffic) recordUncertain(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.uncertain) < maxUncertain {
		tr.uncertain = append(tr.uncertain, fmt.Sprintf(format, args...))
	}
}

// publish publishes the demo's declarations and waits until every entry answers every pipeline.
func (f *fleet) publish() {
	f.t.Helper()
	f.publishWith(func(*config.Objects) {})
}

// publishWith is like publish but changes the declarations first.
func (f *fleet) publishWith(change func(*config.Objects)) {
	f.t.Helper()
	var objects config.Objects
	if err := yaml.Unmarshal(world.Declarations, &objects); err != nil {
		f.t.Fatal(err)
	}
	change(&objects)
	client := admin.New(f.entries[0].http, operatorsToken)
	f.eventually("publish", func(ctx context.Context) error {
		var res publish.Result
		err := client.Post(ctx, admin.PathPublish,
			admin.PublishRequest{Author: "ana", Change: config.Change{Set: objects}}, &res)
		if err == nil && res.State != publish.Accepted {
			return fmt.Errorf("%s: %s", res.State, res.Message)
		}
		return err
	})
	f.usePreset("ordinary")
	f.warmUp()
}

// warmUp waits until every entry answers every pipeline.
func (f *fleet) warmUp() {
	f.t.Helper()
	c := caller.New("warm")
	for _, e := range f.entries {
		for i, pipeline := range pipelines {
			f.eventually("first answer of "+e.name, func(ctx context.Context) error {
				a := c.Call(ctx, e.http, newRequest(pipeline, fmt.Sprintf("warm-%s-%d", e.name, i)))
				if !a.Whole {
					return fmt.Errorf("%s %s %v", a.Code, a.Message, a.Err)
				}
				return nil
			})
		}
	}
}

func (f *fleet) usePreset(name string) {
	f.t.Helper()
	f.eventually("preset "+name, func(ctx context.Context) error {
		var last error
		for _, e := range f.entries {
			var res publish.Result
			last = admin.New(e.http, operatorsToken).Post(ctx, admin.PathPreset,
				admin.PresetRequest{Author: "ana", Name: name}, &res)
			if last == nil && res.State == publish.Accepted {
				return nil
			}
		}
		return last
	})
}

// eventually retries until try succeeds; it fails the test after startLimit, which is far more than a working system
// needs.
func (f *fleet) eventually(what string, try func(ctx context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for {
		err := try(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			f.t.Fatalf("%s: %v", what, err)
		case <-time.After(resendDelay):
		}
	}
}

var pipelines = []string{"summary", "lookup", "transfer", "summary"}

func newRequest(pipeline, marker string) caller.Request {
	input, _ := json.Marshal(map[string]string{"marker": marker, "question": "how much is left"})
	r := caller.Request{ID: marker, Pipeline: pipeline, Token: "demo-collectors", Input: input}
	if pipeline == "transfer" {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

func (f *fleet) startTraffic() *traffic {
	tr := &traffic{f: f, caller: caller.New("traffic"), stop: make(chan struct{})}
	for i := range callers {
		tr.wg.Go(func() { tr.runCaller(i) })
	}
	return tr
}

func (tr *traffic) runCaller(id int) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		marker := fmt.Sprintf("c%d-%d", id, n)
		r := newRequest(pipelines[(id+n)%len(pipelines)], marker)
		r.Stream = n%2 == 0
		tr.request(r, marker, id+n)
	}
}

// request sends r to ready entries, as a caller behind the balancer would, until it has a final answer.
func (tr *traffic) request(r caller.Request, marker string, start int) {
	var a caller.Answer
	for n := range maxSends {
		tr.sent.Add(1)
		a = tr.caller.Call(context.Background(), tr.f.ready(start+n).http, r)
		final := a.Ended && (a.Whole || a.Verdict == fault.MayHaveRun && r.Key != "" && n > maxSends/2)
		if final {
			break
		}
		if !a.Ended {
			tr.cutOff.Add(1)
		}
		if a.Ended && a.Verdict != fault.NotRun {
			tr.mayHaveRun.Add(1)
			tr.recordUncertain("%s %s told %s: %s: %s", r.Pipeline, r.ID, a.Verdict, a.Code, a.Message)
		}
		time.Sleep(resendDelay)
	}
	tr.tally.Add(tally.Call{Marker: marker, Request: r, Answer: a, LateAfter: time.Minute})
}

// finish stops the callers and compares their answers with the records of the fakes.
func (tr *traffic) finish(t *testing.T) tally.Counts {
	close(tr.stop)
	tr.wg.Wait()
	counts, problems := tr.tally.Count(tr.f.books())
	for _, p := range append(problems, tr.uncertain...) {
		t.Log(p)
	}
	t.Logf("sent %d, without end %d, told mayHaveRun %d: %+v",
		tr.sent.Load(), tr.cutOff.Load(), tr.mayHaveRun.Load(), counts)
	return counts
}

var health = &http.Client{Timeout: time.Second}

// ready returns an entry that reports readiness, as the platform's balancer would choose one.
func (f *fleet) ready(n int) *process {
	for i := range f.entries {
		e := f.entries[(n+i)%len(f.entries)]
		resp, err := health.Get("http://" + e.http + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return e
		}
	}
	return f.entries[n%len(f.entries)]
}
