package front

import (
	"cmp"
	"context"
	"fmt"
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
	"github.com/ragworthatch/ragworthatch/internal/edge/verify"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/limit/resend"
	"github.com/ragworthatch/ragworthatch/internal/limit/shed"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

const (
	defaultDeadline     = 10 * time.Second // for a request without one
	defaultMaxBodyBytes = 4 << 20          // bytes; used if the configuration sets no limit
	notReadyRetryAfter  = 500 * time.Millisecond
	defaultRetryAfter   = 300 * time.Millisecond
	minRemaining        = 20 * time.Millisecond // with less time left, no upstream is tried
	maxBufferedBytes    = 256 << 10             // bytes; a longer answer is streamed to the caller
	maxPieces           = 10_000                // in all stages of a request
	streamBufferBytes   = 8 << 10               // bytes
	minBodyTime         = 3 * time.Second       // that a body may take, also if the deadline is earlier
	maxUnreadBytes      = 128 << 10             // of a body; the server reads as much after a refusal

	// A stream takes a few times the target of its first event, which counts from its arrival.
	streamTargets     = 2 // expected from its arrival on, while this process is about to exit
	sentStreamTargets = 1 // expected from its send on
)

// Codec converts between HTTP headers and the fields of requests and answers.
type Codec struct {
	ReadRequest   func(http.Header) call.Request
	ForwardHeader func(http.Header, call.Forward) http.Header
	AnswerHeader  func(http.Header) http.Header
	RetryAfter    func(time.Duration) string
}

// Options are the dependencies of a Front.
type Options struct {
	Host    string // name of this entry
	Zone    string
	Codec   Codec
	Rules   func() *rule.Rules
	Hosts   func() *hosts.Table
	Leader  lead.Dispatcher
	Client  *uphttp.Client
	Picker  *balance.Picker
	Notices *notices.Record
	// Permit asks for permission to send one request to an upstream; it returns the time until the upstream accepts one,
	// 0 if the request may be sent.
	Permit func(context.Context, hosts.Lifetime) time.Duration
	// Short reports what this process is too short of to serve a request with the given rank and target, and when its
	// caller may come back; empty if it is to be served.
	Short  func(rank int, target time.Duration) (shed.Resource, time.Duration)
	Budget *resend.Budget
	Stats  *stats.Stats
	Crash  *crash.Tracker
	Verify *verify.Verifier
	// Origins remembers the streams that this entry has passed on.
	Origins *origin.Keeper
	// Stopping reports whether new requests are refused because this entry shuts down.
	Stopping func() bool
	Leaving  func() bool // reports whether connections are closed after the answer
	// ExitAt returns when this process exits; zero while that is not planned.
	ExitAt func() time.Time
	// Ending is closed when the shutdown leaves no more time to wait for the leader's decisions.
	Ending <-chan struct{}
	// Intake reads the bodies of requests.
	Intake *intake.Intake
	Memory *memory.Budget // nil leaves memory unbounded
	Now    func() time.Time
	Log    *zap.Logger
}

// Front is the handler of callers' requests.
type Front struct {
	o         Options
	keyPrefix string // random, so that keys of different processes differ
	keyCount  atomic.Uint64
}

// New returns a Front with a random prefix for the keys of its requests.
func New(o Options) *Front {
	return &Front{o: o, keyPrefix: strconv.FormatUint(rand.Uint64(), 36)}
}

// exchange is the state of one request.
type exchange struct {
	*Front
	in         *http.Request
	caller     context.Context // ends when the caller disconnects, and when a read of the body fails
	bodyCut    bool            // this entry has ended the reading of the body
	out        *relay.Writer
	head       call.Request
	key        string // unique; the IDs that callers set may not be
	logID      string // the caller's ID, or the key if there is none
	body       *intake.Body
	answerHeld int64 // bytes of memory.Answers
	rules      *rule.Rules
	route      rule.Route
	team       string
	priority   int
	pool       string
	arrived    time.Time
	deadline   time.Time // of the caller or the route, whichever is earlier
	sends      int       // attempts; a failed connection or lost stage results don't count
	sentAt     time.Time // of the last send
	sentTo     string    // ID and start time of the upstream of the last send
	begunAt    string    // version of the engine whose events the caller has; empty before the first one
	mayHaveRun bool      // an upstream may have run the request in one of the sends

	resumable   lead.Stream     // that the caller may take up
	fingerprint uint64          // see fingerprintOf
	parts       []string        // of the prompt, which other requests may share
	short       shed.Resource   // that it was refused for
	breaks      int             // sends that ended before their answer began
	checked     <-chan struct{} // closed when the upstream of the last of them has been asked whether it runs
}

// ServeHTTP handles one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.o.Leaving() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		Front: f, in: r, caller: r.Context(), out: relay.New(w), arrived: f.o.Now(), rules: f.o.Rules(),
		head: f.o.Codec.ReadRequest(r.Header), key: f.keyPrefix + "-" + strconv.FormatUint(f.keyCount.Add(1), 36),
	}
	defer x.releaseMemory()
	x.logID = cmp.Or(x.head.ID, x.key)
	failure := x.prepare(w)
	if failure == nil {
		failure = x.run()
	}
	if failure != nil {
		x.fail(w, failure)
		return
	}
	x.o.Stats.Finished(x.route.Name, "served", x.o.Now().Sub(x.arrived))
	x.o.Stats.TeamFinished(x.team, x.priority, "served")
}

// identify finds the route, the team and the rank. It returns a failure for a request that has none.
func (x *exchange) identify() *fault.Error {
	if x.rules.Version() == 0 {
		return fault.New(fault.NotRun, fault.NotReady, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	host := x.in.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := x.rules.Match(host, x.in.URL.EscapedPath())
	if !ok {
		return fault.New(fault.NotRun, fault.NotFound, "no route for this host and path")
	}
	x.route, x.priority = route, route.Priority
	if x.rules.NeedsKey() && !route.Public {
		team, known := x.rules.Team(x.head.Key)
		if !known {
			return fault.New(fault.NotRun, fault.Unauthorized, "unknown key")
		}
		x.team = team.Name
		if team.HasPriority {
			x.priority = team.Priority
		}
	}
	return nil
}

// prepare identifies the request, reads the body and sets the deadline and the pool. It returns a failure for a request
// that is refused before any upstream is tried.
func (x *exchange) prepare(w http.ResponseWriter) *fault.Error {
	if failure := x.identify(); failure != nil {
		return failure
	}
	if x.o.Stopping() {
		return stopping()
	}
	// An unread body up to this size does not keep the caller from reading the refusal.
	readFirst := x.in.ContentLength < 0 || x.in.ContentLength > maxUnreadBytes
	if !readFirst {
		if failure := x.checkShortage(); failure != nil {
			return failure
		}
	}
	x.setDeadline()
	body, failure := x.o.Intake.ReadBody(w, x.in, intake.BodyOptions{
		Limit: x.bodyLimit(), Owner: x.team, Until: x.arrived.Add(max(x.deadline.Sub(x.arrived), minBodyTime)),
	})
	if failure != nil {
		x.bodyCut = failure.Code != fault.BadRequest
		return failure
	}
	x.body = body
	if readFirst {
		if failure := x.checkShortage(); failure != nil {
			return failure
		}
	}
	if !x.head.HasAtMostPieces(maxPieces) {
		return fault.New(fault.NotRun, fault.BadRequest, "more than %d pieces", maxPieces)
	}
	x.mark(body.Bytes())
	x.o.Verify.Check()
	if d := x.o.Crash.BlockedFor(x.fingerprint, x.parts); d > 0 {
		return quarantined(d)
	}
	x.pool = x.route.PickPool(rand.Float64())
	if x.route.Resumable {
		x.pickStream()
	}
	x.o.Budget.CountRequest(x.pool)
	if !x.endsBeforeExit(streamTargets) {
		return stopping()
	}
	return nil
}

// bodyLimit returns the greatest size of a body, in bytes.
func (x *exchange) bodyLimit() int64 {
	if limit := x.rules.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// mark computes what requests that crash upstreams are known by.
func (x *exchange) mark(body []byte) {
	x.fingerprint = fingerprintOf(x.in, x.head.Key, body)
	x.parts = crash.PartsOf(x.head.Model, x.head.Prefix)
}

// setDeadline sets the deadline of the caller or of the route, whichever is earlier.
func (x *exchange) setDeadline() {
	remaining := x.head.Remaining
	if !x.head.HasDeadline {
		remaining = defaultDeadline
	}
	if x.route.Timeout > 0 {
		remaining = min(remaining, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(remaining)
}

// checkShortage refuses a request that this process is too short of some resource to serve in time, unless it takes up a
// stream, which was begun before.
func (x *exchange) checkShortage() *fault.Error {
	if x.head.LastEventID != "" {
		return nil
	}
	short, wait := x.o.Short(x.priority, x.route.Target)
	if short == shed.None {
		return nil
	}
	x.short = short
	x.o.Stats.Shed(string(short), x.priority)
	return fault.New(fault.NotRun, fault.Overloaded, "this entry is short of %s", short).WithRetryAfter(wait)
}

// stopping is the refusal of a request that this entry can't finish before it exits.
func stopping() *fault.Error {
	return fault.New(fault.NotRun, fault.Draining, "this entry is shutting down").WithRetryAfter(defaultRetryAfter)
}

// endsBeforeExit reports whether the request is expected to end before this process exits: a plain one at its deadline,
// a stream after so many times its target.
func (x *exchange) endsBeforeExit(targets time.Duration) bool {
	exit := x.o.ExitAt()
	if exit.IsZero() {
		return true
	}
	if x.route.Kind == rule.Streaming {
		return !x.o.Now().Add(targets * x.route.Target).After(exit)
	}
	return !x.deadline.Add(answerGrace).After(exit)
}

// pickStream identifies the stream that the request begins or takes up. The pool follows from that, so that the caller
// finds the stream in the same pool.
func (x *exchange) pickStream() {
	x.resumable = lead.Stream{Key: origin.Key(x.team, x.logID), TakenUp: x.head.LastEventID != ""}
	if x.resumable.TakenUp {
		if x.head.Resumes == "" {
			x.resumable.Key = 0
			return
		}
		x.resumable.Key = origin.Key(x.team, x.head.Resumes)
	}
	x.pool = x.route.PickPool(float64(x.resumable.Key>>11) / (1 << 53))
}

// quarantined is the refusal of a request like those that crash upstreams.
func quarantined(retryAfter time.Duration) *fault.Error {
	return fault.New(fault.NotRun, fault.Quarantined, "requests like this one broke down upstreams").
		WithRetryAfter(retryAfter)
}

// run sends the request to upstreams until one answers or no retry is left.
func (x *exchange) run() *fault.Error {
	if x.isPlaced() {
		return x.runPlaced()
	}
	return x.runPlain()
}

// isPlaced reports whether the leader decides where the request runs.
func (x *exchange) isPlaced() bool {
	spec, _ := x.rules.Pool(x.pool)
	return spec.Engine != nil || len(x.route.Stages) > 0 || x.route.Resumable
}

// remaining returns the time left until the deadline.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.o.Now()) }

// send sends the request to one upstream. It returns a failure also for an answer that says that the upstream did not
// run the request.
func (x *exchange) send(u hosts.Upstream, inputs []string, lastEvent string) (*uphttp.Answer, *fault.Error) {
	if !x.o.Hosts().TakesWork(u.ID) {
		return nil, fault.New(fault.NotRun, fault.Draining, "upstream %s takes no more work", u.ID)
	}
	if d := x.o.Notices.PauseRemaining(u.Lifetime()); d > 0 {
		return nil, fault.New(fault.NotRun, fault.Draining, "upstream %s wants nothing for now", u.ID).WithRetryAfter(d)
	}
	x.sends++
	x.sentAt, x.sentTo = x.o.Now(), fmt.Sprintf("%s/%d", u.ID, u.StartedMs)
	header := x.o.Codec.ForwardHeader(x.in.Header, call.Forward{
		Instance: u.ID, Team: x.team, Remaining: x.remaining(), Inputs: inputs, LastEventID: lastEvent,
	})
	answer, failure := x.o.Client.Do(x.in.Context(), u.Address, uphttp.Request{
		Method: x.in.Method, URI: rawTarget(x.in), Host: x.in.Host, Header: header, Body: x.body.Bytes(),
		ID: x.head.ID, NoRetry: !x.route.Repeatable(),
	})
	x.logSend(u, answer, failure)
	if failure != nil {
		if failure.Verdict == fault.NotRun {
			x.sends-- // no connection
		}
		x.mayHaveRun = x.mayHaveRun || failure.Verdict != fault.NotRun
		x.checkConnection(u, failure)
		return nil, failure
	}
	x.o.Notices.AddAnswer(u, x.sentAt, answer.Status, answer.Head)
	if answer.Head.NotRun {
		answer.Close()
		code := fault.Overloaded
		switch answer.Status {
		case http.StatusMisdirectedRequest:
			code = fault.WrongTarget
		case http.StatusConflict:
			code = fault.Conflict
			x.sends-- // results of stages were lost; the request itself was not tried
		case http.StatusBadRequest:
			code = fault.BadRequest
		}
		return nil, fault.New(fault.NotRun, code, "upstream %s did not run the request: status %d", u.ID, answer.Status)
	}
	x.mayHaveRun = true
	if !x.mayBeSentAgain() && answer.HasSent() {
		x.body.Release()
	}
	return answer, nil
}

// mayBeSentAgain reports whether the request may go to another upstream after one that may have run it.
func (x *exchange) mayBeSentAgain() bool {
	return (x.route.Repeatable() || x.route.Resumable) && x.sends < x.route.Attempts
}

// growAnswer takes memory for a buffered answer, until the end of the request.
func (x *exchange) growAnswer(bytes int64) bool {
	if !x.o.Memory.TryAcquire(memory.Answers, "", bytes) {
		return false
	}
	x.answerHeld += bytes
	return true
}

// releaseMemory gives back the memory of the body and of buffered answers.
func (x *exchange) releaseMemory() {
	x.body.Release()
	x.o.Memory.Release(memory.Answers, "", x.answerHeld)
}

// logSend counts a send and logs it as "sent" once the upstream has answered or failed. The field "send" is the number
// of the send within the request; the number of a send that doesn't count in sends is used again.
func (x *exchange) logSend(u hosts.Upstream, answer *uphttp.Answer, failure *fault.Error) {
	fields := []zap.Field{
		zap.String("request", x.logID), zap.String("route", x.route.Name), zap.String("upstream", u.ID),
		zap.Int("send", x.sends), zap.Duration("age", x.o.Now().Sub(x.arrived)), zap.Int64("version", x.rules.Version()),
		zap.String("software", u.Version),
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
		if answer.Head.HasLimit {
			x.o.Stats.LimitNamed(x.pool)
			fields = append(fields, zap.Float64("limit", answer.Head.Limit))
		}
	}
	x.o.Log.Info("sent", fields...)
}

// fail answers the caller with an error status of this entry, or aborts an answer that has begun.
func (x *exchange) fail(w http.ResponseWriter, failure *fault.Error) {
	if x.mayHaveRun && failure.Verdict == fault.NotRun {
		failure = fault.New(fault.MayHaveRun, failure.Code, "an upstream may have run it, and no other did").
			WithCause(failure)
	}
	left := x.caller.Err() != nil && !x.bodyCut
	if left {
		failure = fault.New(failure.Verdict, fault.Canceled, "the caller left").WithCause(failure)
	}
	x.recordFailure(failure.Code, failure.Verdict, failure, zap.Duration("retryAfter", failure.RetryAfter))
	if left || x.out.Started() {
		x.out.Abort()
	}
	status := statusOf(failure)
	if status == http.StatusServiceUnavailable {
		x.o.Stats.Refused(string(failure.Code))
		w.Header().Set("Retry-After", x.o.Codec.RetryAfter(max(failure.RetryAfter, defaultRetryAfter)))
	}
	http.Error(w, failure.Message, status)
}

// recordFailure logs and counts a request that got no complete answer.
func (x *exchange) recordFailure(code fault.Code, verdict fault.Verdict, cause error, extra ...zap.Field) {
	age := x.o.Now().Sub(x.arrived)
	x.o.Log.Info("failed", append(extra, zap.String("request", x.logID), zap.String("route", x.route.Name),
		zap.String("team", x.team), zap.Int("rank", x.priority),
		zap.Int("sends", x.sends), zap.Duration("age", age), zap.Int64("version", x.rules.Version()),
		zap.String("code", string(code)), zap.String("verdict", string(verdict)), zap.String("short", string(x.short)), zap.Error(cause))...)
	x.o.Stats.Finished(x.route.Name, string(code), age)
	outcome := "failed"
	if verdict == fault.NotRun {
		outcome = "refused"
	}
	x.o.Stats.TeamFinished(x.team, x.priority, outcome)
}

// abort records the failure of a partly written answer and cuts the caller's connection.
func (x *exchange) abort(code fault.Code, cause error) {
	x.recordFailure(code, fault.MayHaveRun, cause)
	x.out.Abort()
}

// statusOf maps a failure to an HTTP status; only a request that was not run gets 503, so that callers may retry on it.
func statusOf(failure *fault.Error) int {
	switch failure.Code {
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.SlowBody:
		return http.StatusRequestTimeout
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

// promisesNotRun reports whether a status tells callers that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// unconfirmedRefusal returns the failure to report in place of an answer whose status promises that the request did not run
// although the upstream has not confirmed it; nil for other answers. Callers may send such a request again.
func unconfirmedRefusal(u hosts.Upstream, answer *uphttp.Answer) *fault.Error {
	if answer.Head.NotRun || !promisesNotRun(answer.Status) {
		return nil
	}
	return fault.New(fault.MayHaveRun, fault.Upstream,
		"upstream %s answered with status %d and may have run the request", u.ID, answer.Status)
}

// crashReport describes the last send as one under which its upstream may have crashed.
func (x *exchange) crashReport(begun bool) crash.Report {
	return crash.Report{
		Fingerprint: x.fingerprint, Parts: x.parts, Lifetime: x.sentTo, Sent: x.sentAt, Broke: x.o.Now(), Begun: begun, Own: true,
	}
}

// checkConnection looks into a connection that ended without an answer before the caller left or the deadline passed.
func (x *exchange) checkConnection(u hosts.Upstream, failure *fault.Error) {
	if failure.Verdict == fault.MayHaveRun && failure.Code == fault.Transport && x.in.Context().Err() == nil {
		x.answerBroke(u, false, 0, 0, failure)
	}
}

// answerBroke logs and counts an answer that broke off after so many whole events and a rest of bytes, and has it
// checked whether the upstream crashed. A stream has begun with its first event, another answer with its head.
func (x *exchange) answerBroke(u hosts.Upstream, begun bool, events, rest int, cause error) {
	progress := "unbegun"
	if begun {
		progress = "begun"
	}
	x.o.Stats.AnswerBroken(u.Pool, progress)
	parts := make([]string, 0, len(x.head.Prefix))
	for _, p := range x.head.Prefix {
		parts = append(parts, p.ID)
	}
	x.o.Log.Info("answer broke off", zap.String("request", x.logID), zap.String("route", x.route.Name),
		zap.String("upstream", u.ID), zap.Int("events", events), zap.Int("rest", rest), zap.Strings("parts", parts),
		zap.Uint64("fingerprint", x.fingerprint), zap.Bool("callerLeft", x.in.Context().Err() != nil), zap.Error(cause))
	if x.in.Context().Err() == nil {
		checked := x.o.Verify.AnswerBroke(u, x.crashReport(begun))
		if !begun {
			x.breaks++
			x.checked = checked
		}
	}
}

// reportServed tells the leader that a request suspected of crashing upstreams was answered.
func (x *exchange) reportServed() {
	if x.o.Crash.ObserveAnswer(x.fingerprint) {
		x.o.Leader.Served(x.fingerprint)
	}
}

// fingerprintOf hashes what stays the same when a caller sends a request again.
func fingerprintOf(r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, rawTarget(r), key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// rawTarget returns the path and query as the caller wrote them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
