package flood

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	blockBytes  = 32 << 10         // written at a time
	maxDuration = 20 * time.Second // of an answer that its caller does not close
	ownHead     = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
)

// answers lists a beginning and what follows it without end. ID stands for that of the request, %d for a number that
// counts up.
var answers = []struct{ begin, repeat string }{
	{"", "\x00\x01no answer"},
	{"HTTP/1.1 200 ", "OK"},
	{"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
	{"HTTP/1.1 200 OK\r\n", "X-%d: b\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Long: ", "b"},
	{"", "HTTP/1.1 100 Continue\r\n\r\n"},
	{ownHead + "\r\n", "body"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "body"},
	{ownHead + "Content-Length: 999999999999\r\n\r\n", "body"},
	{ownHead + "Content-Encoding: gzip\r\n\r\n", "body"},
	{ownHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	{ownHead + "Transfer-Encoding: chunked\r\n\r\n4;", "extension"},
	{ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-%d: trailer\r\n"},
	{"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Run: 1\r\n\r\n", "body"},
	{"HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\n\r\n", "body"},
	{ownHead + "Content-Type: application/json\r\n\r\n{\"items\":[", "{\"handle\":\"h\"},"},
	{ownHead + "Content-Type: application/json\r\n\r\n{\"data\":\"", "data"},
	{ownHead + "Content-Type: text/event-stream\r\n\r\n", "id: %d\ndata: token\n\n"},
	{ownHead + "Content-Type: text/event-stream\r\n\r\n", ": busy\n\n"},
	{ownHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "token"},
}

// Flood is a handler that answers each request with the next kind of bytes without end, as fast as the caller reads. It
// is safe for concurrent use.
type Flood struct {
	count atomic.Int64
}

// New returns a flood that begins with the first kind.
func New() *Flood { return &Flood{} }

// Count returns the number of answers that were begun.
func (f *Flood) Count() int64 { return f.count.Load() }

// ServeHTTP writes until the caller closes the connection, or for maxDuration.
func (f *Flood) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := answers[int(f.count.Add(1)-1)%len(answers)]
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the server of a test speaks HTTP/1.1
	}
	defer conn.Close()
	var block bytes.Buffer
	for i := 0; block.Len() < blockBytes; i++ {
		block.WriteString(strings.ReplaceAll(kind.repeat, "%d", strconv.Itoa(i)))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(maxDuration))
	_, err = io.WriteString(conn, strings.ReplaceAll(kind.begin, "Request-Id: ID", "Request-Id: "+r.Header.Get("Request-Id")))
	for err == nil {
		_, err = conn.Write(block.Bytes())
	}
}
