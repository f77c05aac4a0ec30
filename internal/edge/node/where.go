package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/ops/where"
)

const (
	maxQuestionBytes = 8 << 20
	questionTimeout  = 2 * time.Second
)

// endOfHead matches the end of the last line of a head, and the empty line after it.
var endOfHead = regexp.MustCompile(`\r?\n\r?\n`)

// operatorHandler serves the metrics and answers where a request would go.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+where.Path, n.serveWhere)
	mux.Handle("/", n.meter.Handler())
	return mux
}

// serveWhere answers where the request in the body would go. Nothing is sent to upstreams, and no state changes.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	question, body, err := readQuestion(data)
	if err != nil {
		http.Error(w, "the request can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), questionTimeout)
	defer cancel()
	answer, err := n.where(ctx, question, body)
	if err != nil {
		http.Error(w, "no answer of the scheduler: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// readQuestion parses an HTTP/1.1 request. What follows its head is its body, whatever length the head names.
func readQuestion(data []byte) (r *http.Request, body []byte, err error) {
	end := endOfHead.FindIndex(data)
	if end == nil {
		end = []int{len(data), len(data)} // a file without a body may end with the last line of the head
	}
	head := append(bytes.Clone(data[:end[0]]), "\r\n\r\n"...)
	r, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	return r, data[end[1]:], err
}

func (n *Node) where(ctx context.Context, r *http.Request, body []byte) (where.Answer, error) {
	now := time.Now()
	a := where.Answer{
		Entry: n.settings.Load().Name, ConfigVersion: n.watch.Rules().Version(), ConfigAge: ms(now.Sub(n.watch.RulesReadAt())),
		ListAge: ms(now.Sub(n.watch.Hosts().Read())),
	}
	plan := n.front.Explain(r, body)
	a.Route, a.Team, a.Rank, a.Pool = plan.Route.Name, plan.Team, plan.Rank, plan.Pool
	a.Target, a.Remaining = ms(plan.Route.Target), ms(plan.Remaining)
	if plan.Refused != nil {
		a.Decides, a.Refused, a.Status = true, plan.Refused.Message, plan.Status
		a.RetryAfter = ms(plan.Refused.RetryAfter)
		return a, nil
	}
	short, part := n.shed.Chance(plan.Rank, plan.Route.Target)
	a.Short, a.ShortPart = string(short), part
	for _, u := range plan.Upstreams {
		state := "free"
		if u.Ejected {
			state = "ejected"
		}
		a.Upstreams = append(a.Upstreams, where.Upstream{
			ID: u.ID, Zone: u.Zone, State: state, Cost: ms(u.Cost), Running: u.InFlight,
			Parts: []where.Part{{Name: "queue", Cost: ms(u.Queue)}, {Name: "errors", Cost: ms(u.Errors)},
				{Name: "distance", Cost: ms(u.Distance)}},
		})
	}
	if plan.Order == nil {
		a.Decides = true
		return a, nil
	}
	if leader, follows := n.link.Leader(); follows {
		host, _, err := net.SplitHostPort(leader.Address)
		if err != nil {
			return a, errors.New("no leader is known")
		}
		a.Leader, a.LeaderAddress = leader.Host, host
		return a, nil
	}
	a.Decides = true
	outlook, err := n.lead.Explain(ctx, *plan.Order)
	addOutlook(&a, outlook)
	return a, err
}

// addOutlook adds what the scheduler would decide.
func addOutlook(a *where.Answer, o lead.Outlook) {
	a.Late = o.Late
	if o.Refused != "" {
		a.Refused, a.Status, a.RetryAfter = string(o.Refused), http.StatusServiceUnavailable, ms(o.RetryAfter)
	}
	for _, s := range o.Stages {
		stage := where.Stage{Pool: s.Pool, Pieces: s.Pieces, Wait: ms(s.Wait), Call: ms(s.Call), Waiting: s.Waiting, Running: s.Running}
		for _, u := range s.Candidates {
			up := where.StageUpstream{ID: u.ID, Zone: u.Zone, State: string(u.State), Class: u.Class, Usual: ms(u.Usual),
				Expected: ms(u.Expected), Slowness: u.Slowness, Used: u.UsedBytes}
			if u.HasLoad {
				age := ms(u.LoadAge)
				up.LoadAge = &age
			}
			stage.Upstreams = append(stage.Upstreams, up)
		}
		a.Stages = append(a.Stages, stage)
	}
	for _, e := range o.Engines {
		a.Engines = append(a.Engines, where.Upstream{
			ID: e.ID, Zone: e.Zone, State: string(e.State), Cost: ms(e.Cost), Running: e.Running, CachedTokens: e.CachedTokens,
			Parts: []where.Part{{Name: "backlog", Cost: ms(e.Backlog)}, {Name: "prompt", Cost: ms(e.Prompt)},
				{Name: "distance", Cost: ms(e.Distance)}, {Name: "home", Cost: ms(e.Home)}},
		})
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
