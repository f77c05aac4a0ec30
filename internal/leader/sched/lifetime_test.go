package sched_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// ending is a restart of an upstream, or another way to lose results, in the life of one job.
type ending struct {
	Name   string
	Steps  []string
	Pieces []int
}

// lifetimes plays an ending with one upstream for each stage.
type lifetimes struct {
	*qt.C
	scheduler  *sched.Scheduler
	job        sched.Job
	now        time.Time
	born       map[string]int64       // by upstream
	calls      map[string]sched.Batch // that have not ended, by upstream
	made       map[string]madeResult  // by handle
	pieces     []int                  // in calls, by stage
	checkpoint []sched.Progress
	handover   []sched.Progress
	granted    bool
}

// madeResult is a result of the job, and the lifetime that produced it.
type madeResult struct {
	stage, piece int
	producer     hosts.Lifetime
}

// Results end with the lifetime of their upstream: a stage, or the request, is given no handle of an ended one and none
// without a result, whoever decides by then.
func TestResultsEndWithTheLifetimeOfTheirUpstream(t *testing.T) {
	text, err := os.ReadFile("testdata/lifetimes.yaml")
	qt.Assert(t, err, qt.IsNil)
	var endings []ending
	qt.Assert(t, yaml.Unmarshal(text, &endings), qt.IsNil)
	for _, e := range endings {
		t.Run(e.Name, func(t *testing.T) {
			l := &lifetimes{C: qt.New(t), now: start, calls: map[string]sched.Batch{}, made: map[string]madeResult{},
				born: map[string]int64{"a": 1, "b": 1, "c": 1}, pieces: make([]int, 3)}
			l.job = sched.Job{ID: "job", Arrived: start, Target: atMs(20_000), Deadline: atMs(60_000), Stages: []sched.Stage{
				{Pool: "a", Pieces: 1, ResultBytes: 1000},
				{Pool: "b", After: []int{0}, Pieces: 2, ResultBytes: 1000},
				{Pool: "c", After: []int{1}, Pieces: 2, ResultBytes: 1000},
			}}
			l.begin()
			for _, step := range e.Steps {
				verb, upstream, _ := strings.Cut(step, " ")
				l.play(verb, upstream)
			}
			for end := l.now.Add(20 * time.Second); !l.granted && l.now.Before(end); {
				l.finishAll()
			}
			l.Check(l.granted, qt.IsTrue)
			l.Check(l.pieces, qt.DeepEquals, e.Pieces)
		})
	}
}

// begin submits the job to a scheduler that knows nothing yet.
func (l *lifetimes) begin() {
	l.scheduler = sched.New(noLimits())
	for pool := range l.born {
		l.scheduler.SetPool(pool, spec)
	}
	l.list()
	l.scheduler.Submit(l.job, l.now)
	clear(l.calls)
	l.schedule()
}

// list has the scheduler read the list of upstreams.
func (l *lifetimes) list() {
	var all []hosts.Upstream
	for id, born := range l.born {
		all = append(all, hosts.Upstream{ID: id, Pool: id, State: hosts.Ready, StartedMs: born})
	}
	l.scheduler.SetUpstreams(hosts.New(all, l.now))
}

// finishAll ends all calls.
func (l *lifetimes) finishAll() {
	for _, upstream := range []string{"a", "b", "c"} {
		l.play("finish", upstream)
	}
}

func (l *lifetimes) play(verb, upstream string) {
	l.now = l.now.Add(50 * time.Millisecond)
	switch verb {
	case "pause":
		l.scheduler.Pause(hosts.Lifetime{ID: upstream, StartedMs: l.born[upstream]}, l.now.Add(2*time.Second))
	case "finish", "gone":
		b, running := l.calls[upstream]
		if !running {
			break
		}
		delete(l.calls, upstream)
		out := make([]call.Result, len(b.Items))
		for i, it := range b.Items {
			if out[i].Failure = call.FailedInputGone; verb == "finish" {
				out[i] = call.Result{Handle: fmt.Sprintf("%s/%d", upstream, len(l.made))}
				l.made[out[i].Handle] = madeResult{it.Stage, it.Piece, b.Upstream.Lifetime()}
			}
		}
		l.scheduler.CallFinished(b.ID, out, l.now)
	case "restart", "hiddenRestart":
		l.born[upstream]++
		if verb == "restart" {
			l.list()
		}
	case "list":
		l.list()
	case "expire":
		l.now = l.now.Add(spec.ResultRetention)
	case "move":
		l.scheduler.Recall("job")
		l.schedule()
		l.finishAll()
		l.Assert(l.handover, qt.IsNotNil)
		l.job.Progress = l.handover
		l.begin()
	case "lose":
		l.Assert(l.checkpoint, qt.IsNotNil)
		l.job.Progress = l.checkpoint
		l.begin()
	default:
		l.Fatalf("unknown step %q", verb)
	}
	l.schedule()
}

// schedule carries out a scheduling step and checks the inputs that it names.
func (l *lifetimes) schedule() {
	out := l.scheduler.Schedule(l.now)
	for _, b := range out.Batches {
		l.calls[b.Upstream.ID] = b
		for _, it := range b.Items {
			l.pieces[it.Stage]++
			if it.Stage > 0 {
				l.checkInputs(it.Stage-1, it.Inputs)
			}
		}
	}
	for _, g := range out.Grants {
		l.granted = true
		l.checkInputs(2, g.Inputs)
	}
	for _, c := range out.Checkpoints {
		l.checkpoint = c.Stages
	}
	for _, h := range out.Handovers {
		l.handover = h.Stages
	}
}

// checkInputs checks that inputs are one result for each piece of a stage. Each must be of a lifetime that the list
// names, which is all that a scheduler can know.
func (l *lifetimes) checkInputs(stage int, inputs []string) {
	l.Assert(inputs, qt.HasLen, l.job.Stages[stage].Pieces)
	for piece, handle := range inputs {
		r, known := l.made[handle]
		l.Assert(known, qt.IsTrue, qt.Commentf("%q", handle))
		l.Check(r, qt.Equals, madeResult{stage, piece, r.producer}, qt.Commentf("%q", handle))
		l.Check(r.producer.StartedMs, qt.Equals, l.born[r.producer.ID], qt.Commentf("%q", handle))
	}
}
