package rates_test

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/route/rates"
)

// TestRates reads loads from a file, one a line: the true rate of the engine, the share of requests that wait for stage
// results before they are read, for up to so many ms, the network time in ms, and the share of requests that the engine
// reads 2.5 times slower. The rate learned must be within the last two numbers, as parts of the true one.
func TestRates(t *testing.T) {
	file, err := os.Open("testdata/loads")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var rate, waiting, wait, network, slowed, least, most float64
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		_, err := fmt.Sscan(lines.Text(), &rate, &waiting, &wait, &network, &slowed, &least, &most)
		qt.Assert(t, err, qt.IsNil)
		e := rates.New[string](45)
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1000, 0)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			const tokens = 6000
			took := network + tokens/rate
			if random.Float64() < slowed {
				took = network + 2.5*tokens/rate
			}
			if random.Float64() < waiting {
				took += random.Float64() * wait
			}
			e.Observe("e", tokens, time.Duration(took*float64(time.Millisecond)), now)
		}
		got := e.Rate("e", now) / rate
		qt.Check(t, got >= least && got <= most, qt.IsTrue, qt.Commentf("%s: %.2f", lines.Text(), got))
	}
}

func TestEnginesWithoutSamplesReadAtTheMedian(t *testing.T) {
	c := qt.New(t)
	e := rates.New[string](45)
	now := time.Unix(1000, 0)
	c.Check(e.Rate("new", now), qt.Equals, 45.0)
	for i, rate := range []float64{30, 60, 80} {
		for range 200 {
			e.Observe(fmt.Sprint(i), 6000, time.Duration(6000/rate*float64(time.Millisecond)), now)
		}
	}
	e.Observe("new", 6000, time.Second, now)
	e.Observe("small", 100, time.Second, now)
	now = now.Add(time.Second)
	for id, want := range map[string]float64{"0": 30, "1": 60, "2": 80, "new": 60, "small": 60} {
		c.Check(math.Abs(e.Rate(id, now)-want) < 0.1, qt.IsTrue, qt.Commentf("%s: %v", id, e.Rate(id, now)))
	}
	e.Retain(func(id string) bool { return id != "2" })
	c.Check(math.Abs(e.Rate("2", now)-45) < 0.1, qt.IsTrue)
	c.Check(e.Rate("0", now.Add(time.Minute)), qt.Equals, 45.0, qt.Commentf("samples have an age"))
}

// An engine turns slow for good: the rate must follow within seconds, although it is a high quantile.
func TestTheRateFollowsAnEngineThatTurnsSlow(t *testing.T) {
	c := qt.New(t)
	e := rates.New[string](45)
	now := time.Unix(1000, 0)
	for i := range 100 {
		rate := 70.0
		if i >= 50 {
			rate = 25
		}
		now = now.Add(200 * time.Millisecond)
		e.Observe("e", 6000, time.Duration(6000/rate*float64(time.Millisecond)), now)
	}
	c.Check(math.Abs(e.Rate("e", now)-25) < 0.1, qt.IsTrue, qt.Commentf("%v", e.Rate("e", now)))
}
