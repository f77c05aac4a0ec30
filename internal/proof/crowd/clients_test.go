package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	edgeBody   = 4 << 20 // limits.body_bytes
	smallBody  = 120_000 // as ordinary requests may have
	entryBody  = 1 << 20 // the largest body that an entry accepts
	writeLimit = 4 * time.Second
	holdFor    = 3 * time.Second // that a crowd keeps its connections after writing
	// crowdGathers is the time in which a crowd connects and begins to write.
	crowdGathers = 500 * time.Millisecond
	trickleGap   = 20 * time.Millisecond
)

// client writes what one client of a crowd sends. The writer fails once the process has closed the connection, and
// writeLimit after it was opened.
type client func(w io.Writer, target string)

const requestLine = "POST %s HTTP/1.1\r\nHost: svc.example\r\nAuthorization: Bearer demo-collectors\r\nDeadline-Ms: 15000\r\n"

// repeat writes a text until the writer fails, or n times.
func repeat(w io.Writer, text string, n int) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for left := n * len(text); left > 0; left -= len(block) {
		if _, err := w.Write(block[:min(left, len(block))]); err != nil {
			return
		}
	}
}

const endless = 1 << 30

// shortLines returns n distinct header lines.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// body writes a request with a body of a size up to its last byte.
func body(size int) client {
	return func(w io.Writer, target string) {
		fmt.Fprintf(w, requestLine+"Content-Length: %d\r\n\r\n", target, size)
		repeat(w, "x", size-1)
	}
}

// chunked writes a request whose body comes in pieces of a size, with an extension each, up to the last piece.
func chunked(total, size int, extension string) client {
	return func(w io.Writer, target string) {
		fmt.Fprintf(w, requestLine+"Transfer-Encoding: chunked\r\n\r\n", target)
		piece := fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, bytes.Repeat([]byte("x"), size))
		repeat(w, piece, total/size-1)
	}
}

// bodyAfter writes a head with further lines and an unfinished body.
func bodyAfter(lines string) client {
	return func(w io.Writer, target string) {
		fmt.Fprintf(w, requestLine+"%sContent-Length: 1000\r\n\r\nx", target, lines)
	}
}

// endlessHead writes a head whose lines go on until the writer fails.
func endlessHead(line func(i int) string) client {
	return func(w io.Writer, target string) {
		fmt.Fprintf(w, requestLine, target)
		for i := 0; ; i++ {
			if _, err := io.WriteString(w, line(i)); err != nil {
				return
			}
		}
	}
}

// distinctLines returns a block of distinct header lines for endlessHead.
func distinctLines(i int) string {
	var b strings.Builder
	for j := range 256 {
		fmt.Fprintf(&b, "x%x-%x:\r\n", i, j)
	}
	return b.String()
}

// trickledHead writes a head line each trickleGap.
func trickledHead(w io.Writer, target string) {
	endlessHead(func(i int) string { time.Sleep(trickleGap); return fmt.Sprintf("x%x:\r\n", i) })(w, target)
}

// trailers writes a body with trailer lines without end.
func trailers(w io.Writer, target string) {
	fmt.Fprintf(w, requestLine+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", target)
	for i := 0; ; i++ {
		if _, err := io.WriteString(w, distinctLines(i)); err != nil {
			return
		}
	}
}

// longAnswers asks for long answers, which the client does not read.
func longAnswers(w io.Writer, _ string) {
	repeat(w, fmt.Sprintf(requestLine+"Content-Length: 0\r\n\r\n", "/read/long"), 20)
}

// pipelined writes requests without waiting for their answers, the last one with a head of short lines.
func pipelined(w io.Writer, target string) {
	repeat(w, fmt.Sprintf(requestLine+"Content-Length: 0\r\n\r\n", target), 10)
	bodyAfter(shortLines(2000))(w, target)
}

// allKinds returns a client that is of another kind each time.
func allKinds() client {
	kinds := []client{
		body(edgeBody), body(smallBody), chunked(edgeBody, 1000, ""), chunked(edgeBody, 1, ""), bodyAfter(shortLines(2000)),
		endlessHead(distinctLines), pipelined, longAnswers, trickledHead,
	}
	var count atomic.Int64
	return func(w io.Writer, target string) { kinds[int(count.Add(1))%len(kinds)](w, target) }
}

// runCrowd runs so many clients at once, which keep their connections for holdFor after they have written.
func (p *process) runCrowd(size int, target string, send client) {
	var clients sync.WaitGroup
	for range size {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp4", p.front, writeLimit)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // the answers are not read
			_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
			send(conn, target)
			time.Sleep(holdFor)
		})
	}
	clients.Wait()
}
