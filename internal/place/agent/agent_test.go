package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

func source(current lease.Current) (plan.Input, int64) {
	return plan.Input{
		Runners: []plan.Runner{{Name: "r1", Zone: "z", Live: true, Models: []string{"m"}, Target: current.Targets["r1"], Loaded: true}},
		Wants:   []plan.Want{{Model: "m", Runners: 1}}, MaxLoads: 1,
	}, 7
}

func TestOneOfTwoAgentsPlansAndTheOtherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		start := func(name string) (*lease.Holder, context.CancelFunc) {
			h := lease.NewHolder(name, log, time.Now, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = New(h, source, time.Now, zap.NewNop()).Run(ctx) }()
			time.Sleep(time.Second)
			return h, cancel
		}
		_, stop := start("one")
		reader := lease.NewReader(log, time.Now)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Plan().Targets["r1"].Model, qt.Equals, "m")
		c.Assert(reader.State().Plan().Revision, qt.Equals, int64(7))
		_, stopOther := start("two")
		time.Sleep(time.Hour)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Holding().Holder, qt.Equals, "one")
		stop()
		time.Sleep(lease.Length + 2*standbyInterval)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Holding().Holder, qt.Equals, "two")

		// A process that reads only the end of the stream finds the plan there.
		time.Sleep(12 * time.Hour)
		late := lease.NewReader(log, time.Now)
		c.Assert(late.Read(t.Context()), qt.IsNil)
		c.Assert(late.State().Plan().Targets["r1"].Model, qt.Equals, "m")

		offset := late.State().Plan().Offset
		log.SetDown(true)
		time.Sleep(time.Hour)
		log.SetDown(false)
		time.Sleep(time.Minute)
		c.Assert(late.Read(t.Context()), qt.IsNil)
		c.Assert(late.State().Plan().Offset >= offset, qt.IsTrue)
		c.Assert(late.State().Holding().Holder, qt.Equals, "two")
		stopOther()
		synctest.Wait()
	})
}
