package intake

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
)

const (
	// MaxHeaderBytes is the MaxHeaderBytes of a server behind an Intake, which has bounds of its own.
	MaxHeaderBytes = 1 << 20
	// ReceiveBufferBytes is the receive buffer of a connection where memory is bounded. Its kernel buffers count as memory of
	// the process until they are read; 32 kB carry 256 Mbit/s over a round trip of 1 ms.
	ReceiveBufferBytes = 32 << 10

	// connectionBytes is what a connection holds at most besides large heads, bodies and answers: receive buffer, buffers of
	// net/http, goroutine stack, and an ordinary head with its copy for the upstream.
	connectionBytes = 80 << 10
	ordinaryBytes   = 20 << 10 // charge of a head that connectionBytes covers: 64 lines of 64 bytes
	lineBytes       = 256      // of memory for a header line besides its text, in the map of net/http and its copy
	lineSlack       = 4 << 10  // of a head, for the request line beside header_bytes
	bodyFreeBytes   = 4 << 10  // of a body, covered by connectionBytes

	defaultHeadBytes    = 64 << 10
	defaultBodyBytes    = 4 << 20
	defaultHeadTimeout  = 10 * time.Second
	defaultIdleTimeout  = 90 * time.Second
	defaultBodyTimeout  = 5 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultWait         = 100 * time.Millisecond
	logEvery            = time.Second
)

// Limits bound what one client may do; a zero field takes its default.
type Limits struct {
	HeadBytes    int           // of a header; 64 KiB
	BodyBytes    int64         // of a body; 4 MiB
	HeadTimeout  time.Duration // from the first byte of a head to its end; 10 s
	IdleTimeout  time.Duration // of a connection without a request; 90 s
	BodyTimeout  time.Duration // without a byte of a body; 5 s
	WriteTimeout time.Duration // for 64 KiB of an answer; 10 s
	Wait         time.Duration // of a body for memory; 100 ms
	Connections  int           // at the same time; as many as there is memory for
}

// withDefaults returns the limits with defaults for the fields that are zero.
func (l Limits) withDefaults() Limits {
	l.HeadBytes = cmp.Or(l.HeadBytes, defaultHeadBytes)
	l.BodyBytes = cmp.Or(l.BodyBytes, defaultBodyBytes)
	l.HeadTimeout = cmp.Or(l.HeadTimeout, defaultHeadTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	l.Wait = cmp.Or(l.Wait, defaultWait)
	return l
}

// Reason says why a client was refused or its connection closed.
type Reason string

// The reasons.
const (
	HeadTooLarge  Reason = "headTooLarge"
	HeadMemory    Reason = "headMemory"    // no memory for a large head
	EmptyLines    Reason = "emptyLines"    // too many before a request
	BodyMemory    Reason = "bodyMemory"    // no memory for a body
	BodySlow      Reason = "bodySlow"      // the body made no progress
	BodyEvicted   Reason = "bodyEvicted"   // made little progress while others needed the memory
	ConnectionMax Reason = "connectionMax" // a new connection beyond the bound
	IdleEvicted   Reason = "idleEvicted"   // an idle connection, closed for a new one
	HeadEvicted   Reason = "headEvicted"   // a connection in an unfinished head, closed for another one
)

// Descriptors that are not for connections of callers.
const (
	fileDescriptors = 200
	ownDescriptors  = 400 // other processes of the system, and idle connections to upstreams
)

// MaxConnections returns the bound of Limits.Connections for a process that may open so many descriptors, if that is not 0,
// and have so many connections, if that is not 0. A request has a connection to an upstream, too.
func MaxConnections(connections, descriptors int) int {
	if descriptors == 0 {
		return connections
	}
	free := max(1, (descriptors-min(fileDescriptors+ownDescriptors, descriptors/2))/2)
	if connections == 0 {
		return free
	}
	return min(connections, free)
}

// Options are the dependencies of an Intake.
type Options struct {
	Limits func() Limits  // called often; the limits may change at any time
	Budget *memory.Budget // nil leaves memory unbounded
	// Refused, if set, is told about each client that was refused.
	Refused func(Reason)
	Now     func() time.Time
	Log     *zap.Logger
}

// Intake bounds the clients of one HTTP server; it is safe for concurrent use.
type Intake struct {
	o Options

	mu       sync.Mutex
	conns    map[*conn]struct{}
	armed    Limits // of the last Sweep
	loggedAt time.Time
	refusals map[Reason]int // since loggedAt
}

// New returns an Intake without connections.
func New(o Options) *Intake {
	return &Intake{o: o, conns: map[*conn]struct{}{}, refusals: map[Reason]int{}}
}

// Attach prepares a server, whose handler is set, for connections of Listen.
func (in *Intake) Attach(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.bodyRead = false
		defer func() { // also if the handler panics
			if !c.bodyRead {
				c.linger() // net/http reads the rest of a body that the handler did not read
			}
		}()
		handler.ServeHTTP(w, r)
	})
	server.MaxHeaderBytes = MaxHeaderBytes
	// The connections replace the length of these timeouts, as the limits change.
	server.ReadHeaderTimeout, server.IdleTimeout = defaultHeadTimeout, defaultIdleTimeout
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.observe(state)
		}
	}
}

type connKey struct{}

// Listen returns a listener whose connections are bounded.
func (in *Intake) Listen(l net.Listener) net.Listener { return &listener{Listener: l, in: in} }

type listener struct {
	net.Listener
	in *Intake
}

// Accept returns the next connection for which there is room; others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.in.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (in *Intake) limits() Limits { return in.o.Limits().withDefaults() }

// MaxBodyBytes returns the limit of bodies; 0 if none is set.
func (in *Intake) MaxBodyBytes() int64 { return in.o.Limits().BodyBytes }

// admit returns the wrapped connection, or nil if there is no room for it.
func (in *Intake) admit(raw net.Conn) *conn {
	if !in.hasRoom() {
		in.reclaimConnection()
		if !in.hasRoom() {
			in.refuse(ConnectionMax)
			return nil
		}
	}
	if !in.o.Budget.TryAcquire(memory.Connections, "", connectionBytes) {
		in.refuse(ConnectionMax)
		return nil
	}
	c := &conn{Conn: raw, in: in, scan: scanner{state: atStart}, phase: idle, since: in.o.Now()}
	in.mu.Lock()
	in.conns[c] = struct{}{}
	in.mu.Unlock()
	return c
}

// hasRoom reports whether there is room for one more connection.
func (in *Intake) hasRoom() bool {
	used, limit := in.o.Budget.Load(memory.Connections)
	in.mu.Lock()
	defer in.mu.Unlock()
	most := in.o.Limits().Connections
	return (most <= 0 || len(in.conns) < most) && (in.o.Budget == nil || used+connectionBytes <= limit)
}

func (in *Intake) remove(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, c)
}

// Connections returns the number of open connections.
func (in *Intake) Connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

// Sweep applies changed timeouts to the connections that wait for bytes. It is called about once a second.
func (in *Intake) Sweep() {
	limits := in.limits()
	in.mu.Lock()
	changed := in.armed.IdleTimeout != limits.IdleTimeout || in.armed.HeadTimeout != limits.HeadTimeout
	in.armed = limits
	in.mu.Unlock()
	if changed {
		for _, c := range in.all() {
			c.rearm(limits)
		}
	}
	in.flushLog()
}

func (in *Intake) all() []*conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := make([]*conn, 0, len(in.conns))
	for c := range in.conns {
		out = append(out, c)
	}
	return out
}

// refuse counts a refusal. Sweep logs the sums.
func (in *Intake) refuse(r Reason) {
	if in.o.Refused != nil {
		in.o.Refused(r)
	}
	in.mu.Lock()
	in.refusals[r]++
	in.mu.Unlock()
}

// flushLog logs the refusals since the last line, in one line each logEvery at most.
func (in *Intake) flushLog() {
	now := in.o.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.refusals) == 0 || now.Sub(in.loggedAt) < logEvery {
		return
	}
	fields := []zap.Field{zap.Int("connections", len(in.conns))}
	for _, kind := range memory.Kinds {
		used, _ := in.o.Budget.Load(kind)
		fields = append(fields, zap.Int64(string(kind)+"Bytes", used))
	}
	for r, n := range in.refusals {
		fields = append(fields, zap.Int(string(r), n))
	}
	in.o.Log.Warn("clients refused", fields...)
	clear(in.refusals)
	in.loggedAt = now
}
