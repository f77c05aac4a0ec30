package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crowds lists the kinds of clients. Those marked as guards did not exceed the bounds before there was a budget.
var crowds = []struct {
	name    string
	clients int
	send    client
}{
	{"bodies one byte short", 100, body(edgeBody)},
	{"bodies in pieces", 100, chunked(edgeBody, 1000, "")},
	{"heads of short lines", 700, bodyAfter(shortLines(2000))},
	{"heads without end", 700, endlessHead(distinctLines)},
	{"idle connections", 1000, func(w io.Writer, _ string) {}},
	{"pipelined heads", 700, pipelined},
	{"pieces of one byte", 200, chunked(edgeBody, 1, "")},
	{"long extensions", 200, chunked(edgeBody, 1, ";"+strings.Repeat("e", 4000))},
	{"trailers", 700, trailers},
	{"answers not read", 200, longAnswers},
	{"all kinds", 600, allKinds()},
	{"the same line", 200, bodyAfter(strings.Repeat("a: b\r\n", 2400))},                      // guard
	{"a line without end", 200, endlessHead(func(int) string { return "xxxxxxxxxxxxxxxx" })}, // guard
	{"empty lines", 200, func(w io.Writer, _ string) { repeat(w, "\r\n", endless) }},         // guard
	{"a head line at a time", 200, trickledHead},                                             // guard
	{"folded lines", 200, bodyAfter("x:\r\n" + strings.Repeat(" y\r\n", 3000))},              // guard
	{"lines without a colon", 200, bodyAfter(strings.Repeat("y\r\n", 3000))},                 // guard
	{"lines that are not text", 200, bodyAfter(strings.Repeat("\xff\x00: \x01\r\n", 1500))},  // guard
}

// entryCrowds lists the kinds for a process of the product's own deployment. It has more connections than descriptors of
// the setting, too.
var entryCrowds = []struct {
	name    string
	clients int
	send    client
}{
	{"bodies one byte short", 300, body(entryBody)},
	{"bodies in pieces", 300, chunked(entryBody, 1000, "")},
	{"heads of short lines", 700, bodyAfter(shortLines(2000))},
	{"heads without end", 700, endlessHead(distinctLines)},
	{"idle connections", 1000, func(io.Writer, string) {}},
	{"pipelined heads", 700, pipelined},
	{"a head line at a time", 200, trickledHead}, // guard
}

// Crowds of clients that want only to occupy a process made it exceed the memory of its host and end, or run out of
// descriptors.
func TestCrowdsDoNotExhaustAnEntryOfThePlatform(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			c := qt.New(t)
			p := startEdge(c)
			p.checkCrowd(crowd.clients, "/read/1", crowd.send, func() *http.Request {
				r, _ := http.NewRequest(http.MethodPost, "http://"+p.front+"/read/1", strings.NewReader("text"))
				r.Host = "svc.example"
				return r
			})
		})
	}
}

// checkCrowd runs a crowd and checks that the process lives within its memory and descriptors, and answers ordinary requests:
// one that comes while the crowd is there and is sent again after refusals, and one afterwards. How soon is not checked.
func (p *process) checkCrowd(clients int, target string, send client, ordinary func() *http.Request) {
	during := make(chan bool, 1)
	mostMB, mostOpen := p.load(func() {
		go func() {
			time.Sleep(crowdGathers)
			during <- p.answers(ordinary)
		}()
		p.runCrowd(clients, target, send)
	})
	p.c.Logf("at most %.0f MB and %d descriptors", mostMB, mostOpen)
	p.c.Check(p.isAlive(), qt.IsTrue)
	p.c.Check(mostMB < memoryMB, qt.IsTrue, qt.Commentf("%s MB", fmt.Sprintf("%.0f", mostMB)))
	p.c.Check(mostOpen < descriptors, qt.IsTrue, qt.Commentf("%d descriptors", mostOpen))
	p.c.Check(<-during, qt.IsTrue, qt.Commentf("while the crowd is there"))
	p.c.Check(p.answers(ordinary), qt.IsTrue)
}

// As above, for an entry of the product's own deployment.
func TestCrowdsDoNotExhaustAnEntry(t *testing.T) {
	for _, crowd := range entryCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			c := qt.New(t)
			p := startEntry(c)
			p.checkCrowd(crowd.clients, "/v1/pipelines/lookup", crowd.send, func() *http.Request {
				r, _ := http.NewRequest(http.MethodPost, "http://"+p.front+"/v1/pipelines/lookup", strings.NewReader(`{"input":{"marker":"m"}}`))
				r.Header.Set("Authorization", "Bearer demo-collectors")
				return r
			})
		})
	}
}
