package trace_test

import (
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/trace"
)

// readTrace returns the trace of a request in testdata/log.txt.
func readTrace(c *qt.C, request string) trace.Trace {
	file, err := os.Open("testdata/log.txt")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	s, err := trace.Read(request, map[string]io.Reader{"log.txt": file})
	c.Assert(err, qt.IsNil)
	return s
}

func TestCauses(t *testing.T) {
	c := qt.New(t)
	for request, want := range map[string]string{
		"id-1": `refused \(notRun\): it waited too long .*`,
		"id-2": `failed \(mayHaveRun\): the upstream closed the connection .*`,
		"id-3": `served, but known to be late .*`,
		"id-4": `no end of it is logged.*`,
		"id-5": `refused \(notRun\): it could not meet its target.*; its caller had first sent it 1500 ms before.*`,
		"id-6": `answered: status 200 of upstream up-1 .*`,
		"id-7": `answered: status 500 of upstream up-2 .*`,
		"id-8": `no end of it is logged.*`,
		"id-9": `no line names it.*`,
		"id-10": `refused \(notRun\): it could not .*; in pool b ran 60 of rank 0, 3 of rank 2 and waited 40 of rank 0, ` +
			`6 of rank 1, with 0 upstreams free; requests that ran there: \[id-7 id-8\]`,
		"id-11": `refused \(notRun\): its entry was short of processor.*`,
		"id-12": `failed \(mayHaveRun\): the upstream answered with an error that was not passed on.*`,
	} {
		c.Check(readTrace(c, request).Cause, qt.Matches, want, qt.Commentf(request))
	}
}

func TestLinesInOrderWithStateChanges(t *testing.T) {
	c := qt.New(t)
	s := readTrace(c, "id-1")
	c.Assert(s.Lines, qt.HasLen, 3)
	c.Check(s.Lines[0].Source, qt.Equals, "front-2", qt.Commentf("the leader's log line names the request"))
	c.Check(s.StateChanges, qt.HasLen, 1)
	text := s.Text()
	c.Check(strings.Index(text, "stage call") < strings.Index(text, "decided"), qt.IsTrue)
	c.Check(text, qt.Contains, "member=front-2")
}
