package uphttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/reset"
	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/wire/head"
)

const (
	dialTimeout     = 1 * time.Second
	unackedTimeout  = 3 * time.Second        // TCP_USER_TIMEOUT: sent bytes without an acknowledgement
	maxIdle         = 4 * time.Second        // for a connection; less if the upstream states a shorter limit
	idleMargin      = 500 * time.Millisecond // a connection is dropped this long before the upstream's limit
	maxIdleNoRetry  = 300 * time.Millisecond // a NoRetry request takes no connection that was idle for longer
	writeTimeout    = 10 * time.Millisecond  // for writing a request, after the end of its answer; see wasWritten
	resetTimeout    = 300 * time.Millisecond // for a reset after the end of the answer; above TCP's shortest retransmission time
	resetPoll       = 5 * time.Millisecond   // between two looks for such a reset
	maxIdlePerHost  = 16                     // idle connections that are kept for each address
	maxAnswersRead  = 4                      // per request, until one is its own
	maxSkippedBytes = 64 << 10               // of the body of an answer to another request
	maxHeadBytes    = 64 << 10               // of the header of an answer
	bufferBytes     = 4 << 10                // of the read buffer of a connection, and of the write buffer of a request
	maxRefused      = 64                     // refusals on a connection, after which it is closed
	maxDigests      = 8                      // of answers, remembered for each connection; see CheckDuplicate
)

// Request is an HTTP request to one upstream.
type Request struct {
	Method  string
	URI     string // path and query, written as they are
	Host    string
	Header  http.Header
	Body    []byte
	ID      string // that the answer must echo; without one, the request has a connection of its own
	NoRetry bool   // can't be sent again, so it avoids connections that the upstream may be about to close
	// MayOmitID says that the answer may lack the ID if it is the first one on its connection, which is not kept then.
	MayOmitID bool
	// Uniform says that all answers to requests of this kind are alike, so that it does no harm if one without an ID belongs to
	// another of them. These requests share connections with each other only, which are kept also without IDs.
	Uniform bool
}

// isAnsweredBy reports whether an answer that echoes an ID, or none, counts for the request. Only the first answer on a
// connection needs no ID, as an upstream may write an answer once more in place of the next one.
func (r Request) isAnsweredBy(id string, first bool) bool {
	return r.ID == "" || id == r.ID || (r.MayOmitID && id == "" && (first || r.Uniform))
}

// keepsConn reports whether the answers to later requests on the connection can be told from another one to this request,
// which echoes an ID, or none.
func (r Request) keepsConn(id string) bool { return r.ID != "" && (id != "" || r.Uniform) }

// Answer is an answer whose body is not read yet; Close must be called.
type Answer struct {
	Status       int
	Header       http.Header
	Length       int64 // of the body; -1 if unknown
	Head         call.Answer
	body         io.ReadCloser
	conn         *conn
	client       *Client
	complete     bool        // the body was read to its end
	stopWatching func() bool // stops closing the connection at the end of ctx; false if ctx has ended; nil after Close
	closeConn    bool        // the connection must not be used again
	unframed     bool        // the body has neither a length nor chunks
	tail         *eventTail  // of the body of a successful event stream; nil for other bodies
}

// Client sends requests and keeps idle connections to upstreams; it is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	decode func(http.Header) call.Answer
	now    func() time.Time
	dialed func() // called for each new connection
	mu     sync.Mutex
	idle   map[route][]*conn // the last one used comes last
}

// route is what requests have in common that may share connections.
type route struct {
	address string
	uniform bool // see Request
}

// conn is a connection that serves one request at a time.
type conn struct {
	*reset.Conn
	route
	reader    *bufio.Reader
	recorder  *recorder         // of the header of an answer
	limit     *io.LimitedReader // bounds it
	written   chan error        // receives the result of writing the last request
	idleUntil time.Time
	idleSince time.Time
	digests   []uint64 // of the last bodies that were given to CheckDuplicate
	lastID    string   // of the last request that was answered on it; empty if none was
	refused   []string // IDs of the requests that were refused on it
}

// New returns a client; decode parses the headers of answers, and dialed is called for each new connection.
func New(decode func(http.Header) call.Answer, now func() time.Time, dialed func()) *Client {
	return &Client{
		dialer: sock.Dialer(dialTimeout, unackedTimeout),
		decode: decode, now: now, dialed: dialed, idle: map[route][]*conn{},
	}
}

// LimitReceiveBuffer sets the receive buffer of later connections, in bytes. What an upstream has sent for a caller that does
// not read is held there. It must be called before the first request.
func (c *Client) LimitReceiveBuffer(bytes int) {
	c.dialer.Control = sock.ReceiveBuffer(bytes, sock.UserTimeout(unackedTimeout))
}

// Do sends a request and returns its answer with the header read. The error's verdict is NotRun only if nothing was
// sent. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Answer, *fault.Error) {
	cn, err := c.get(ctx, address, r)
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
	answer.stopWatching = stop
	return answer, nil
}

// receive reads the header of the answer to the request, and skips answers to other requests.
func (c *Client) receive(cn *conn, r Request) (*Answer, *fault.Error) {
	asked := &http.Request{Method: r.Method}
	for range maxAnswersRead {
		got, lines, err := cn.readHead(asked)
		if err != nil {
			return nil, fault.New(fault.MayHaveRun, fault.Transport, "no answer from %s", cn.address).WithCause(err)
		}
		if err := cmp.Or(head.Check(got), head.CheckLines(lines)); err != nil {
			return nil, fault.New(fault.MayHaveRun, fault.Malformed, "malformed answer from %s", cn.address).WithCause(err)
		}
		if got.StatusCode < http.StatusOK {
			continue
		}
		decoded := c.decode(got.Header)
		if !r.isAnsweredBy(decoded.RequestID, cn.lastID == "") {
			if !skip(got.Body) {
				break
			}
			continue
		}
		if got.Header.Get("Content-Encoding") != "" {
			return nil, fault.New(fault.MayHaveRun, fault.Malformed, "encoded answer from %s", cn.address)
		}
		cn.lastID = r.ID
		if decoded.NotRun {
			cn.refused = append(cn.refused, r.ID)
		}
		answer := &Answer{
			Status: got.StatusCode, Header: got.Header, Length: got.ContentLength, Head: decoded,
			body: got.Body, conn: cn, client: c,
			closeConn: got.Close || !r.keepsConn(decoded.RequestID) || len(cn.refused) >= maxRefused,
			unframed:  r.Method != http.MethodHead && got.ContentLength < 0 && len(got.TransferEncoding) == 0,
		}
		if answer.IsEventStream() && answer.isSuccess() {
			answer.tail = &eventTail{}
		}
		return answer, nil
	}
	return nil, fault.New(fault.MayHaveRun, fault.Malformed, "only answers to other requests from %s", cn.address)
}

// readHead reads the head of an answer, and also returns its bytes.
func (cn *conn) readHead(asked *http.Request) (*http.Response, []byte, error) {
	cn.limit.N = maxHeadBytes
	buffered, _ := cn.reader.Peek(cn.reader.Buffered())
	cn.recorder.start(buffered)
	got, err := http.ReadResponse(cn.reader, asked)
	lines := cn.recorder.stop(cn.reader.Buffered())
	cn.limit.N = math.MaxInt64
	return got, lines, err
}

// skip discards the body of an answer to another request, and reports whether it ended within the limit.
func skip(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes
}

// send writes the whole request.
func (cn *conn) send(r Request) error {
	w := bufio.NewWriterSize(cn.Conn, bufferBytes)
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

// get returns an idle connection that is still usable for the request, or a new one. For a NoRetry request, a connection
// that was idle for longer than maxIdleNoRetry is closed instead.
func (c *Client) get(ctx context.Context, address string, r Request) (*conn, error) {
	to := route{address, r.Uniform}
	for r.ID != "" {
		cn := c.takeIdle(to, r.ID)
		if cn == nil {
			break
		}
		now := c.now()
		if now.After(cn.idleUntil) || (r.NoRetry && now.Sub(cn.idleSince) > maxIdleNoRetry) || !cn.isQuiet() {
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
	watched := reset.New(raw)
	recorder := &recorder{from: watched}
	limit := &io.LimitedReader{R: recorder, N: maxHeadBytes}
	return &conn{
		Conn: watched, route: to, recorder: recorder, limit: limit, reader: bufio.NewReaderSize(limit, bufferBytes),
	}, nil
}

// takeIdle removes and returns the idle connection of a route that was used last and may carry the request with an ID;
// nil if there is none.
func (c *Client) takeIdle(to route, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	for i := len(list) - 1; i >= 0; i-- {
		if cn := list[i]; !cn.mayRepeatAnswer(id) {
			c.idle[to] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

// mayRepeatAnswer reports whether an answer that the upstream writes once more on the connection could be taken for the
// answer to the request with an ID. An answer comes again with the next one, a refusal may come later.
func (cn *conn) mayRepeatAnswer(id string) bool {
	return id == cn.lastID || slices.Contains(cn.refused, id)
}

// isQuiet reports whether the upstream has neither closed the idle connection nor sent anything on it.
func (cn *conn) isQuiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	raw, err := cn.SyscallConn()
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

// putIdle keeps a connection for later requests. The upstream closes it after idle without a request; 0 if unknown.
func (c *Client) putIdle(cn *conn, idle time.Duration) {
	if idle == 0 {
		idle = maxIdle + idleMargin
	}
	cn.idleSince = c.now()
	cn.idleUntil = cn.idleSince.Add(min(idle-idleMargin, maxIdle))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.route]
	if len(list) >= maxIdlePerHost {
		_ = cn.Close()
		return
	}
	c.idle[cn.route] = append(list, cn)
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.After(cn.idleUntil) {
				_ = cn.Close()
				continue
			}
			kept = append(kept, cn)
		}
		if len(kept) == 0 {
			delete(c.idle, to)
			continue
		}
		c.idle[to] = kept
	}
}

// wasWritten reports whether the whole request was written; if not, the answer came early. It waits up to
// writeTimeout, as the writing goroutine may be done without having reported it.
func (cn *conn) wasWritten() bool {
	select {
	case err := <-cn.written:
		return err == nil
	case <-time.After(writeTimeout):
		return false
	}
}

// hasSent reports, without waiting, whether the writing of the request has ended.
func (cn *conn) hasSent() bool {
	select {
	case err := <-cn.written:
		cn.written <- err // for wasWritten
		return true
	default:
		return false
	}
}

// awaitReset returns an error if the upstream resets the connection before it has the whole request. An upstream that has
// ended its side and still reads leaves the connection open; one that has closed it answers the rest of the request with
// a reset.
func (cn *conn) awaitReset() error {
	for end := time.Now().Add(resetTimeout); ; time.Sleep(resetPoll) {
		unacked, err := cn.HasUnacked()
		if err != nil {
			return err
		}
		if (cn.hasSent() && !unacked) || time.Now().After(end) {
			return nil
		}
	}
}

// HasSent reports, without waiting, whether the writing of the request has ended, so that its body is not in use any more.
func (a *Answer) HasSent() bool { return a.conn.hasSent() }

// Read reads the body; it returns io.EOF only at the end of a complete body. After a body that ends with the connection,
// it waits for a reset while the rest of the request is on its way. A successful event stream that ends inside an event
// is incomplete, also if its length or its chunks say otherwise.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if a.tail != nil {
		a.tail.add(p[:n])
	}
	if err == io.EOF && a.unframed && !a.complete {
		if resetErr := a.conn.awaitReset(); resetErr != nil {
			return n, resetErr
		}
	}
	if err == io.EOF && a.tail != nil && a.tail.inside {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// EndsWithConnection reports whether only the end of the connection ends the body.
func (a *Answer) EndsWithConnection() bool { return a.unframed }

// IsEventStream reports whether the body is a series of server-sent events. Malformed parameters of the media type do not
// matter.
func (a *Answer) IsEventStream() bool {
	kind, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// isSuccess reports whether the status is one of success.
func (a *Answer) isSuccess() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// CheckDuplicate records the digest of a whole body, and reports whether one of the last answers on the connection had
// the same. If so, the connection is not used again, as the real answer may still arrive on it.
func (a *Answer) CheckDuplicate(digest uint64) bool {
	same := slices.Contains(a.conn.digests, digest)
	if len(a.conn.digests) >= maxDigests {
		a.conn.digests = append(a.conn.digests[:0], a.conn.digests[1:]...)
	}
	a.conn.digests = append(a.conn.digests, digest)
	a.closeConn = a.closeConn || same
	return same
}

// Discard ends the exchange after an answer that can't be used. It may not have been the answer to the request, which then
// is still to come, so the connection is closed.
func (a *Answer) Discard() {
	a.closeConn = true
	a.Close()
}

// Close ends the exchange. The connection is kept for other requests if the request was fully written, the answer fully
// read and nothing follows it.
func (a *Answer) Close() {
	if a.stopWatching == nil {
		return
	}
	beforeEnd := a.stopWatching()
	a.stopWatching = nil
	if !beforeEnd || !a.complete || a.closeConn || a.conn.reader.Buffered() > 0 || !a.conn.wasWritten() {
		_ = a.conn.Close()
		return
	}
	a.client.putIdle(a.conn, a.Head.IdleLimit)
}
