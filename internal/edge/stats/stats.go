package stats

import (
	"strconv"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// latencyBuckets are the upper bounds of the latency buckets, in ms.
var latencyBuckets = []float64{10, 25, 50, 100, 150, 250, 500, 750, 1000, 1500, 2000, 3000, 5000, 10000, 20000}

// pieceBuckets are the upper bounds of the buckets of pieces per stage call.
var pieceBuckets = []float64{1, 2, 4, 8, 12, 16, 24, 32, 48, 64}

// Gauges holds the values of the gauges.
type Gauges struct {
	ConfigVersion  int64
	ConfigAge      time.Duration // since the store last confirmed it
	ListAge        time.Duration // since the list of upstreams was read
	Members        int64         // known entries, this one among them
	Leads          bool          // this entry is the leader or decides for itself
	InFlight       int64         // requests of callers
	OpenOrders     int64         // requests that this entry decides on as the leader
	QueuedPieces   int64         // pieces of those requests that wait for a call
	Blocks         int64         // sets of prompt parts that are refused
	Limited        int64         // upstreams that named a limit
	Cold           int64         // upstreams that are known to be cold
	EvacuatedZones int64         // zones that get no requests from this entry
	ProcessorWait  time.Duration // median of the last half second
	Pools          []PoolUse     // stage pools, of the requests that this entry decides on
	Engines        []EngineUse   // of those requests
	Connections    int64         // of callers
	Held           []HeldMemory  // by kind of holder
}

// HeldMemory is the memory that a kind of holder has taken from the budget.
type HeldMemory struct {
	Kind        string
	Used, Limit int64 // bytes
}

// PoolUse says what the upstreams of a stage pool do and what waits for them.
type PoolUse struct {
	Pool             string
	Upstreams        map[string]int // by state: free, busy, slow, paused
	Waiting, Running map[int]int    // pieces by rank
}

// EngineUse says what one engine has left.
type EngineUse struct {
	Pool, Engine string
	Requests     int           // that run
	FreeSlots    int           // for requests
	FreeTokens   int           // of memory
	Rate         int           // prompt tokens that it is expected to read in a second
	Backlog      time.Duration // expected time to read the prompts that wait on it
}

// Stats records the metrics; it is safe for concurrent use.
type Stats struct {
	requests     meter.Counter
	duration     meter.Histogram
	firstByte    meter.Histogram
	sends        meter.Counter
	refusals     meter.Counter
	stageCalls   meter.Counter
	stagePieces  meter.Histogram
	failedPieces meter.Counter
	stageOrders  meter.Counter
	storeCalls   meter.Counter
	repeats      meter.Counter
	ejections    meter.Counter
	broken       meter.Counter
	crashes      meter.Counter
	limited      meter.Counter
	continued    meter.Counter
	origins      meter.Counter
	clients      meter.Counter
	crowded      meter.Counter
	teams        meter.Counter
	shed         meter.Counter
}

// New registers the metrics with m; state is called when the gauges are read.
func New(m *meter.Meter, state func() Gauges) *Stats {
	gauge := func(name, unit, help string, value func(Gauges) int64) {
		m.GaugeFunc(meter.Spec{Name: name, Unit: unit, Help: help}, func(o meter.Observe) { o(value(state())) })
	}
	gauge("edge.configVersion", "{version}", "Version of the configuration in force.",
		func(s Gauges) int64 { return s.ConfigVersion })
	gauge("edge.configAge", "ms", "Time since the store last confirmed the configuration.",
		func(s Gauges) int64 { return s.ConfigAge.Milliseconds() })
	gauge("edge.listAge", "ms", "Age of the list of upstreams.",
		func(s Gauges) int64 { return s.ListAge.Milliseconds() })
	gauge("edge.members", "{entry}", "Known entries, this one among them.", func(s Gauges) int64 { return s.Members })
	gauge("edge.leads", "", "Whether this entry decides for itself and for those that follow it.",
		func(s Gauges) int64 {
			if s.Leads {
				return 1
			}
			return 0
		})
	gauge("edge.inFlight", "{request}", "Requests on their way.", func(s Gauges) int64 { return s.InFlight })
	gauge("edge.openOrders", "{request}", "Requests that this entry decides on as the leader.",
		func(s Gauges) int64 { return s.OpenOrders })
	gauge("edge.queuedPieces", "{piece}", "Pieces of those requests that wait for a call.",
		func(s Gauges) int64 { return s.QueuedPieces })
	gauge("edge.blocks", "{block}", "Sets of prompt parts that are refused, as they crash upstreams.",
		func(s Gauges) int64 { return s.Blocks })
	gauge("edge.limitedUpstreams", "{upstream}", "Upstreams that named a limit in their last answer.",
		func(s Gauges) int64 { return s.Limited })
	gauge("edge.connections", "{connection}", "Open connections of callers.",
		func(s Gauges) int64 { return s.Connections })
	held := func(name, help string, value func(HeldMemory) int64) {
		m.GaugeFunc(meter.Spec{Name: name, Unit: "By", Help: help}, func(o meter.Observe) {
			for _, h := range state().Held {
				o(value(h), label("kind", h.Kind))
			}
		})
	}
	held("edge.memoryHeld", "Memory held for callers, by kind of holder.", func(h HeldMemory) int64 { return h.Used })
	held("edge.memoryLimit", "Memory that may be held for callers, by kind of holder.",
		func(h HeldMemory) int64 { return h.Limit })
	gauge("edge.coldUpstreams", "{upstream}", "Upstreams that are cold and accept only a few requests.",
		func(s Gauges) int64 { return s.Cold })
	gauge("edge.evacuatedZones", "{zone}", "Zones whose upstreams get no requests from this entry.",
		func(s Gauges) int64 { return s.EvacuatedZones })
	gauge("edge.processorWait", "ms", "Time that this process waits until the processor runs it, median of the last half second.",
		func(s Gauges) int64 { return s.ProcessorWait.Milliseconds() })
	registerUse(m, state)
	return &Stats{
		teams: m.Counter(meter.Spec{Name: "edge.teamRequests", Unit: "{request}",
			Help: "Finished requests by team, rank and outcome: served, refused or failed."}),
		shed: m.Counter(meter.Spec{Name: "edge.shedRequests", Unit: "{request}",
			Help: "Requests refused because this entry was short of a resource, by resource and rank."}),
		requests: m.Counter(meter.Spec{Name: "edge.requests", Unit: "{request}",
			Help: "Finished requests by route and outcome."}),
		duration: m.Histogram(meter.Spec{Name: "edge.requestDuration", Unit: "ms",
			Help: "Time from a request's arrival to the end of its answer, by outcome."}, latencyBuckets...),
		firstByte: m.Histogram(meter.Spec{Name: "edge.firstByte", Unit: "ms",
			Help: "Time from a request's arrival to the first byte of its answer."}, latencyBuckets...),
		sends: m.Counter(meter.Spec{Name: "edge.sends", Unit: "{send}",
			Help: "Requests passed to upstreams, by pool, whether they were repeats, and result."}),
		refusals: m.Counter(meter.Spec{Name: "edge.refusals", Unit: "{request}",
			Help: "Refused requests by reason."}),
		stageCalls: m.Counter(meter.Spec{Name: "edge.stageCalls", Unit: "{call}",
			Help: "Calls to stage upstreams by pool and result."}),
		stagePieces: m.Histogram(meter.Spec{Name: "edge.stagePieces", Unit: "{piece}",
			Help: "Pieces in a call to a stage upstream."},
			pieceBuckets...),
		failedPieces: m.Counter(meter.Spec{Name: "edge.failedPieces", Unit: "{piece}",
			Help: "Pieces without a result, by pool and reason."}),
		repeats: m.Counter(meter.Spec{Name: "edge.repeats", Unit: "{send}",
			Help: "Repeated sends that were asked of the retry budget, by pool and result."}),
		ejections: m.Counter(meter.Spec{Name: "edge.ejections", Unit: "{ejection}",
			Help: "Upstreams left out for a while because calls failed, by pool."}),
		broken: m.Counter(meter.Spec{Name: "edge.brokenAnswers", Unit: "{answer}",
			Help: "Answers of upstreams that broke off, by pool and whether they had begun."}),
		crashes: m.Counter(meter.Spec{Name: "edge.crashReports", Unit: "{report}",
			Help: "Reports of requests under which an upstream crashed, by result."}),
		limited: m.Counter(meter.Spec{Name: "edge.limitedAnswers", Unit: "{answer}",
			Help: "Answers in which an upstream named a limit, by pool."}),
		continued: m.Counter(meter.Spec{Name: "edge.continuedStreams", Unit: "{stream}",
			Help: "Streams that another engine went on with in the same answer, by pool and whether its software " +
				"has the same version."}),
		origins: m.Counter(meter.Spec{Name: "edge.originLookups", Unit: "{lookup}",
			Help: "Lookups of the version that began a stream, by where it was found."}),
		clients: m.Counter(meter.Spec{Name: "edge.refusedClients", Unit: "{client}",
			Help: "Requests refused and connections closed to bound memory, by reason."}),
		stageOrders: m.Counter(meter.Spec{Name: "edge.stageOrders", Unit: "{request}",
			Help: "Requests with stages that the leader decided on while callers compete by rank, by route, team, rank, the " +
				"pool for which they were refused, and result."}),
		crowded: m.Counter(meter.Spec{Name: "edge.engineRefusals", Unit: "{request}",
			Help: "Requests refused because engines had too much to read or to hold, by pool and rank."}),
		storeCalls: m.Counter(meter.Spec{Name: "edge.storeCalls", Unit: "{call}",
			Help: "Calls to the platform's store by topic and result."}),
	}
}

func label(name, value string) meter.Label { return meter.Label{Name: name, Value: value} }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Finished counts a finished request and records its duration; outcome is "served" or the code of a failure.
func (s *Stats) Finished(route, outcome string, took time.Duration) {
	s.requests.Add(1, label("route", route), label("outcome", outcome))
	s.duration.Record(millis(took), label("outcome", outcome))
}

// TeamFinished counts a finished request of a team, which is empty for public routes; outcome is "served", "refused" or
// "failed".
func (s *Stats) TeamFinished(team string, rank int, outcome string) {
	s.teams.Add(1, label("team", team), label("rank", strconv.Itoa(rank)), label("outcome", outcome))
}

// Shed counts a request that was refused because this entry was short of a resource.
func (s *Stats) Shed(resource string, rank int) {
	s.shed.Add(1, label("resource", resource), label("rank", strconv.Itoa(rank)))
}

// FirstByte records the time from a request's arrival to the first byte of its answer.
func (s *Stats) FirstByte(took time.Duration) { s.firstByte.Record(millis(took)) }

// Sent counts a request passed to an upstream; result is "answered" or the code of a failure.
func (s *Stats) Sent(pool string, repeat bool, result string) {
	kind := "first"
	if repeat {
		kind = "repeat"
	}
	s.sends.Add(1, label("pool", pool), label("kind", kind), label("result", result))
}

// Refused counts a request that was refused before it ran.
func (s *Stats) Refused(reason string) { s.refusals.Add(1, label("reason", reason)) }

// StageCall counts a call to a stage upstream; result is "answered" or the code of a failure.
func (s *Stats) StageCall(pool, result string, pieces int) {
	s.stageCalls.Add(1, label("pool", pool), label("result", result))
	s.stagePieces.Record(float64(pieces), label("pool", pool))
}

// FailedPieces counts n pieces without a result.
func (s *Stats) FailedPieces(pool, reason string, n int) {
	s.failedPieces.Add(int64(n), label("pool", pool), label("reason", reason))
}

// StageOrder counts a request with stages that was decided on while callers compete by rank; result is "inTime", "late" or
// "refused", and pool is empty unless it was refused.
func (s *Stats) StageOrder(route, team string, rank int, pool, result string) {
	s.stageOrders.Add(1, label("route", route), label("team", team), label("rank", strconv.Itoa(rank)), label("pool", pool),
		label("result", result))
}

// Repeat counts a retry that the retry budget allowed or denied.
func (s *Stats) Repeat(pool string, allowed bool) {
	result := "allowed"
	if !allowed {
		result = "denied"
	}
	s.repeats.Add(1, label("pool", pool), label("result", result))
}

// Ejected counts an upstream that gets no requests for a while because calls to it failed.
func (s *Stats) Ejected(pool string) { s.ejections.Add(1, label("pool", pool)) }

// AnswerBroken counts an answer of an upstream that broke off; progress says whether it had begun.
func (s *Stats) AnswerBroken(pool, progress string) {
	s.broken.Add(1, label("pool", pool), label("progress", progress))
}

// CrashReport counts a report of a request under which an upstream crashed; result says what came of it.
func (s *Stats) CrashReport(result string) { s.crashes.Add(1, label("result", result)) }

// LimitNamed counts an answer in which an upstream named a limit.
func (s *Stats) LimitNamed(pool string) { s.limited.Add(1, label("pool", pool)) }

// StreamContinued counts a stream that another engine goes on with in the same answer; same says whether that engine runs
// the version that began the stream.
func (s *Stats) StreamContinued(pool string, same bool) {
	software := "same"
	if !same {
		software = "other"
	}
	s.continued.Add(1, label("pool", pool), label("software", software))
}

// OriginLookedUp counts a lookup of the version that began a stream; source says where it was found.
func (s *Stats) OriginLookedUp(source string) { s.origins.Add(1, label("source", source)) }

// ClientRefused counts a request that was refused, or a connection that was closed, to bound the memory of clients.
func (s *Stats) ClientRefused(reason string) { s.clients.Add(1, label("reason", reason)) }

// EngineRefusal counts a request that was refused because the engines of a pool had too many prompts to read, or too little
// memory.
func (s *Stats) EngineRefusal(pool string, rank int) {
	s.crowded.Add(1, label("pool", pool), label("rank", strconv.Itoa(rank)))
}

// StoreCall counts a call to the platform's store; ok says whether it was answered.
func (s *Stats) StoreCall(topic string, ok bool) {
	result := "answered"
	if !ok {
		result = "failed"
	}
	s.storeCalls.Add(1, label("topic", topic), label("result", result))
}
