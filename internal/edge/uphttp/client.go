package uphttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	dialTimeout     = 1 * time.Second
	unackedTimeout  = 3 * time.Second // TCP_USER_TIMEOUT: sent bytes without an acknowledgement
	idleByDefault   = 4 * time.Second // a connection is kept this long when the upstream does not say
	idleMargin      = 500 * time.Millisecond
	idleOnce        = 300 * time.Millisecond // idle time after which a request that must not be lost gets a new connection
	writeWait       = 10 * time.Millisecond  // after the end of an answer, for the end of the request; it is an early answer then
	maxIdlePerHost  = 16
	maxExtraAnswers = 4
	maxExtraBytes   = 64 << 10
	maxHeadBytes    = 64 << 10
	readBuffer      = 4 << 10 // bytes
	maxSeen         = 8       // digests of answers of a connection
)

// Request is a request to one upstream.
type Request struct {
	Method  string
	URI     string // path and query as they go on the wire
	Host    string
	Header  http.Header
	Body    []byte
	ID      string // that the answer must echo; empty if the answer need not
	NoRetry bool   // must not be sent on a connection that may be about to close
}

// Answer is an answer whose body is still to be read; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if unknown
	Head   call.Answer
	body   io.ReadCloser
	conn   *conn
	client *Client
	ended  bool
	stop   func() bool
	closes bool
}

// Client keeps connections to upstreams; it is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	decode func(http.Header) call.Answer
	now    func() time.Time
	dialed func()
	mu     sync.Mutex
	idle   map[string][]*conn
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	limit   *io.LimitedReader
	written chan error // the outcome of the last write
	idleTo  time.Time
	since   time.Time
	seen    []uint64 // digests of the newest answers, those that were noted
}

// New returns a client; decode reads the heads of answers, and dialed is called for each new connection.
func New(decode func(http.Header) call.Answer, now func() time.Time, dialed func()) *Client {
	return &Client{
		dialer: sock.Dialer(dialTimeout, unackedTimeout),
		decode: decode, now: now, dialed: dialed, idle: map[string][]*conn{},
	}
}

// Do sends a request and returns the head of its answer. The error's verdict is NotRun only if nothing was sent.
// When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Answer, *fault.Error) {
	cn, err := c.get(ctx, address, r.NoRetry)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.NoUpstream, "can't connect to %s", address).WithCause(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	cn.written = make(chan error, 1)
	go func() { cn.written <- cn.send(r) }()
	answer, failure := c.receive(cn, r)
	if failure != nil {
		stop()
		_ = cn.Close()
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			failure = fault.New(failure.Verdict, fault.Deadline, "no answer from %s in time", address)
		case ctx.Err() != nil:
			failure = fault.New(failure.Verdict, fault.Canceled, "the caller left before %s answered", address)
		}
		return nil, failure
	}
	answer.stop = stop
	return answer, nil
}

// receive reads the head of the answer that belongs to the request.
func (c *Client) receive(cn *conn, r Request) (*Answer, *fault.Error) {
	asked := &http.Request{Method: r.Method}
	for range maxExtraAnswers {
		cn.limit.N = maxHeadBytes
		got, err := http.ReadResponse(cn.reader, asked)
		if err != nil {
			return nil, fault.New(fault.MayHaveRun, fault.Transport, "no answer from %s", cn.address).WithCause(err)
		}
		cn.limit.N = math.MaxInt64
		if got.StatusCode < http.StatusOK {
			continue
		}
		head := c.decode(got.Header)
		if r.ID != "" && head.RequestID != r.ID {
			if !skip(got.Body) {
				break
			}
			continue
		}
		if got.Header.Get("Content-Encoding") != "" {
			return nil, fault.New(fault.MayHaveRun, fault.Malformed, "encoded answer from %s", cn.address)
		}
		return &Answer{
			Status: got.StatusCode, Header: got.Header, Length: got.ContentLength, Head: head,
			body: got.Body, conn: cn, client: c, closes: got.Close,
		}, nil
	}
	return nil, fault.New(fault.MayHaveRun, fault.Malformed, "only answers to other requests from %s", cn.address)
}

// skip reads the body of an answer that belongs to no request of ours.
func skip(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxExtraBytes))
	return err == nil && n < maxExtraBytes
}

// send writes the whole request.
func (cn *conn) send(r Request) error {
	w := bufio.NewWriterSize(cn.Conn, readBuffer)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// get returns an idle connection that is still sound, or a new one.
func (c *Client) get(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		now := c.now()
		if now.After(cn.idleTo) || (once && now.Sub(cn.since) > idleOnce) || !cn.quiet() {
			_ = cn.Close()
			continue
		}
		return cn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c.dialed()
	limit := &io.LimitedReader{R: raw, N: maxHeadBytes}
	return &conn{Conn: raw, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// quiet says whether the other end has neither closed the connection nor sent anything on it.
func (cn *conn) quiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	raw, err := cn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *Client) put(cn *conn, idle time.Duration) {
	if idle == 0 {
		idle = idleByDefault + idleMargin
	}
	cn.since = c.now()
	cn.idleTo = cn.since.Add(min(idle-idleMargin, idleByDefault))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdlePerHost {
		_ = cn.Close()
		return
	}
	c.idle[cn.address] = append(list, cn)
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.After(cn.idleTo) {
				_ = cn.Close()
				continue
			}
			kept = append(kept, cn)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// wasWritten says whether the request went out whole. The goroutine that writes may have done so and not have said it yet.
func (cn *conn) wasWritten() bool {
	select {
	case err := <-cn.written:
		return err == nil
	case <-time.After(writeWait):
		return false
	}
}

// Read reads the body; io.EOF comes only when the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// CheckDuplicate notes the digest of a whole body, and says whether one of the answers before it on the connection had the same
// one; the connection is not kept then, as the answer itself may still come.
func (a *Answer) CheckDuplicate(digest uint64) bool {
	same := slices.Contains(a.conn.seen, digest)
	if len(a.conn.seen) >= maxSeen {
		a.conn.seen = append(a.conn.seen[:0], a.conn.seen[1:]...)
	}
	a.conn.seen = append(a.conn.seen, digest)
	a.closes = a.closes || same
	return same
}

// Close ends the exchange; a connection whose answer was read to its end is kept for other requests.
func (a *Answer) Close() {
	if a.stop == nil {
		return
	}
	inTime := a.stop()
	a.stop = nil
	if !inTime || !a.ended || a.closes || a.conn.reader.Buffered() > 0 || !a.conn.wasWritten() {
		_ = a.conn.Close()
		return
	}
	a.client.put(a.conn, a.Head.IdleLimit)
}
