package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/balance"
	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/limit/resend"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	defaultDeadline   = 10 * time.Second // of a request that names none
	defaultBodyLimit  = 4 << 20          // bytes, when the configuration names none
	notReadyRetry     = 500 * time.Millisecond
	defaultRetryAfter = 300 * time.Millisecond
	minTime           = 20 * time.Millisecond // with less left, no upstream is tried
	maxBuffered       = 256 << 10             // bytes of an answer that is read whole before the caller gets any
	maxPieces         = 10_000                // of all stages of a request
	streamBuffer      = 8 << 10               // bytes of one read of a stream
)

// Codec reads callers' requests and writes those to upstreams.
type Codec struct {
	ReadRequest   func(http.Header) call.Request
	ForwardHeader func(http.Header, call.Forward) http.Header
	BackHeader    func(http.Header) http.Header
	RetryAfter    func(time.Duration) string
}

// Options are the dependencies of a Front.
type Options struct {
	Host   string // of this entry
	Zone   string
	Codec  Codec
	Rules  func() *rule.Rules
	Hosts  func() *hosts.Table
	Desk   lead.Dispatcher
	Client *uphttp.Client
	Picker *balance.Picker
	Heed   *notices.Record
	Budget *resend.Budget
	Stats  *stats.Stats
	// Blocked says for how long requests with a fingerprint are refused.
	Blocked func(fingerprint uint64) time.Duration
	// Served notes that a request was answered, and says whether upstreams had broken down under it before.
	Served func(fingerprint uint64) bool
	// Stopping says that new requests get no service, only an answer that says so.
	Stopping func() bool
	Leaving  func() bool // connections are closed after the answer
	// Ending is closed when there is no more time to wait for decisions.
	Ending <-chan struct{}
	Now    func() time.Time
	Log    *zap.Logger
}

// Front is the handler of callers' requests.
type Front struct {
	o        Options
	lifetime string // of this process
	count    atomic.Uint64
}

// New returns a front.
func New(o Options) *Front {
	return &Front{o: o, lifetime: strconv.FormatUint(rand.Uint64(), 36)}
}

// exchange is one request on its way.
type exchange struct {
	*Front
	in       *http.Request
	caller   context.Context // ends when the caller is gone
	out      *relay.Writer
	head     call.Request
	key      string // unique, which callers' IDs need not be
	label    string // of the request in logs: the caller's ID, or the key if there is none
	body     []byte
	rules    *rule.Rules
	route    rule.Route
	team     string
	rank     int
	pool     string
	arrived  time.Time
	deadline time.Time // of the caller or the route, whichever comes first
	sends    int       // that count as attempts
	sentAt   time.Time // of the newest send
	sentTo   string    // lifetime of an upstream
	ran      bool      // an upstream may have run it, whatever came later

	fingerprint uint64
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.o.Leaving() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		Front: f, in: r, caller: r.Context(), out: relay.New(w), arrived: f.o.Now(), rules: f.o.Rules(),
		head: f.o.Codec.ReadRequest(r.Header), key: f.lifetime + "-" + strconv.FormatUint(f.count.Add(1), 36),
	}
	x.label = cmp.Or(x.head.ID, x.key)
	failure := x.prepare(w)
	if failure == nil {
		failure = x.run()
	}
	if failure != nil {
		x.fail(w, failure)
		return
	}
	x.o.Stats.Finished(x.route.Name, "served", x.o.Now().Sub(x.arrived))
}

// prepare finds the route and the team, and reads the body.
func (x *exchange) prepare(w http.ResponseWriter) *fault.Error {
	if x.rules.Version() == 0 {
		return fault.New(fault.NotRun, fault.NotReady, "no configuration is known yet").WithRetryAfter(notReadyRetry)
	}
	host := x.in.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := x.rules.Match(host, x.in.URL.EscapedPath())
	if !ok {
		return fault.New(fault.NotRun, fault.NotFound, "no route for this host and path")
	}
	x.route, x.rank = route, route.Priority
	if x.rules.NeedsKey() && !route.Public {
		team, known := x.rules.Team(x.head.Key)
		if !known {
			return fault.New(fault.NotRun, fault.Unauthorized, "unknown key")
		}
		x.team = team.Name
		if team.HasPriority {
			x.rank = team.Priority
		}
	}
	if x.o.Stopping() {
		return fault.New(fault.NotRun, fault.Draining, "this entry is shutting down").WithRetryAfter(defaultRetryAfter)
	}
	limit := x.rules.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, x.in.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return fault.New(fault.NotRun, fault.TooLarge, "the body is larger than %d bytes", limit)
		}
		return fault.New(fault.NotRun, fault.BadRequest, "the body can't be read").WithCause(err)
	}
	x.body = body
	if !x.head.ArePiecesFew(maxPieces) {
		return fault.New(fault.NotRun, fault.BadRequest, "more than %d pieces", maxPieces)
	}
	x.fingerprint = fingerprintOf(x.in, x.head.Key, body)
	if d := x.o.Blocked(x.fingerprint); d > 0 {
		return fault.New(fault.NotRun, fault.Quarantined, "requests like this one broke down upstreams").WithRetryAfter(d)
	}
	remaining := x.head.Remaining
	if !x.head.HasDeadline {
		remaining = defaultDeadline
	}
	if route.Timeout > 0 {
		remaining = min(remaining, route.Timeout)
	}
	x.deadline = x.arrived.Add(remaining)
	x.pool = route.Pick(rand.Float64())
	x.o.Budget.Request(x.pool)
	return nil
}

// run sends the request to upstreams until there is an answer.
func (x *exchange) run() *fault.Error {
	spec, _ := x.rules.Pool(x.pool)
	if spec.Engine != nil || len(x.route.Stages) > 0 {
		return x.runPlaced()
	}
	return x.runPlain()
}

// left is the time until the caller or the operator wants no answer any more.
func (x *exchange) left() time.Duration { return x.deadline.Sub(x.o.Now()) }

// send passes the request on to one upstream.
func (x *exchange) send(u hosts.Upstream, inputs []string, lastEvent string) (*uphttp.Answer, *fault.Error) {
	if !x.o.Hosts().TakesWork(u.ID) {
		return nil, fault.New(fault.NotRun, fault.Draining, "upstream %s takes no more work", u.ID)
	}
	if d := x.o.Heed.Opens(u.Lifetime()); d > 0 {
		return nil, fault.New(fault.NotRun, fault.Draining, "upstream %s wants nothing for now", u.ID).WithRetryAfter(d)
	}
	x.sends++
	x.sentAt, x.sentTo = x.o.Now(), fmt.Sprintf("%s/%d", u.ID, u.Born)
	header := x.o.Codec.ForwardHeader(x.in.Header, call.Forward{
		Instance: u.ID, Team: x.team, Remaining: x.left(), Inputs: inputs, LastEvent: lastEvent,
	})
	answer, failure := x.o.Client.Do(x.in.Context(), u.Address, uphttp.Request{
		Method: x.in.Method, URI: rawTarget(x.in), Host: x.in.Host, Header: header, Body: x.body,
		ID: x.head.ID, Once: !x.route.Repeatable(),
	})
	x.logSend(u, answer, failure)
	if failure != nil {
		if failure.Verdict == fault.NotRun {
			x.sends-- // no connection
		}
		x.ran = x.ran || failure.Verdict != fault.NotRun
		x.noteCrash(failure)
		return nil, failure
	}
	x.o.Heed.Answer(u, answer.Status, answer.Head)
	if answer.Head.NotRun {
		answer.Close()
		code := fault.Overloaded
		switch answer.Status {
		case http.StatusMisdirectedRequest:
			code = fault.WrongTarget
		case http.StatusConflict:
			code = fault.Conflict
			x.sends-- // results of stages were lost, the request itself is still to be sent
		case http.StatusBadRequest:
			code = fault.BadRequest
		}
		return nil, fault.New(fault.NotRun, code, "upstream %s did not run the request: status %d", u.ID, answer.Status)
	}
	x.ran = true
	return answer, nil
}

func (x *exchange) logSend(u hosts.Upstream, answer *uphttp.Answer, failure *fault.Error) {
	fields := []zap.Field{
		zap.String("request", x.label), zap.String("route", x.route.Name), zap.String("upstream", u.ID), zap.Int("send", x.sends),
		zap.Duration("age", x.o.Now().Sub(x.arrived)), zap.Int64("version", x.rules.Version()),
		zap.Duration("listAge", x.o.Now().Sub(x.o.Hosts().Read())),
	}
	result := "answered"
	if failure != nil {
		result = string(failure.Code)
	}
	x.o.Stats.Sent(x.pool, x.sends > 1, result)
	if failure != nil {
		fields = append(fields, zap.String("verdict", string(failure.Verdict)), zap.Error(failure))
	} else {
		fields = append(fields, zap.Int("status", answer.Status), zap.Bool("notRun", answer.Head.NotRun))
	}
	x.o.Log.Info("sent", fields...)
}

// fail answers with an error of our own.
func (x *exchange) fail(w http.ResponseWriter, failure *fault.Error) {
	if x.ran && failure.Verdict == fault.NotRun {
		failure = fault.New(fault.MayHaveRun, failure.Code, "an upstream may have run it, and no other did").WithCause(failure)
	}
	if x.caller.Err() != nil {
		failure = fault.New(failure.Verdict, fault.Canceled, "the caller left").WithCause(failure)
	}
	x.noteFailed(failure.Code, failure.Verdict, failure, zap.Duration("retryAfter", failure.RetryAfter))
	if x.caller.Err() != nil || x.out.Begun() {
		x.out.Break()
	}
	status := statusOf(failure)
	if status == http.StatusServiceUnavailable {
		x.o.Stats.Refused(string(failure.Code))
		w.Header().Set("Retry-After", x.o.Codec.RetryAfter(max(failure.RetryAfter, defaultRetryAfter)))
	}
	http.Error(w, failure.Message, status)
}

// noteFailed logs and counts a request that was not answered whole.
func (x *exchange) noteFailed(code fault.Code, verdict fault.Verdict, cause error, more ...zap.Field) {
	age := x.o.Now().Sub(x.arrived)
	x.o.Log.Info("failed", append(more, zap.String("request", x.label), zap.String("route", x.route.Name), zap.Int("sends", x.sends),
		zap.Duration("age", age), zap.Int64("version", x.rules.Version()), zap.String("code", string(code)),
		zap.String("verdict", string(verdict)), zap.Error(cause))...)
	x.o.Stats.Finished(x.route.Name, string(code), age)
}

// breakOff ends an answer that has begun and can't be completed.
func (x *exchange) breakOff(code fault.Code, cause error) {
	x.noteFailed(code, fault.MayHaveRun, cause)
	x.out.Break()
}

// statusOf is the status that keeps the promise of the verdict.
func statusOf(failure *fault.Error) int {
	switch failure.Code {
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.BadRequest:
		return http.StatusBadRequest
	}
	switch {
	case failure.Verdict == fault.NotRun:
		return http.StatusServiceUnavailable
	case failure.Code == fault.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// noteCrash counts a connection that ended without an answer, while the caller was still waiting.
func (x *exchange) noteCrash(failure *fault.Error) {
	if failure.Verdict == fault.MayHaveRun && failure.Code == fault.Transport && x.in.Context().Err() == nil {
		x.o.Desk.Crashed(x.fingerprint, x.sentTo, x.sentAt)
	}
}

// noteServed tells that the request breaks down no upstream.
func (x *exchange) noteServed() {
	if x.o.Served(x.fingerprint) {
		x.o.Desk.Served(x.fingerprint)
	}
}

// fingerprintOf is what stays the same when a request comes again.
func fingerprintOf(r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, rawTarget(r), key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// rawTarget is the path and query as the caller wrote them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
