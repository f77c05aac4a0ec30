package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const falseAnswersPerSecond = 0.4

// planFalseAnswers draws times in which an upstream that serves callers gives answers that say less or more than happened.
// They have their own random source, so that the other faults of a seed stay the same.
func (s *soak) planFalseAnswers(random *rand.Rand, duration time.Duration) []fault {
	var serving []*service
	for _, v := range s.env.services {
		if v.pool == "plain" || v.pool == "engines" {
			serving = append(serving, v)
		}
	}
	names := []string{"fails with 503 after it ran", "fails with 429 after it ran", "ends streams inside an event"}
	overrides := []override{failAs(http.StatusServiceUnavailable), failAs(http.StatusTooManyRequests), endInsideEvent}
	var out []fault
	for at := 0.0; ; {
		at += random.ExpFloat64() / falseAnswersPerSecond
		if at > duration.Seconds() {
			return out
		}
		v, i := serving[random.IntN(len(serving))], random.IntN(len(overrides))
		d := minFaultDuration + time.Duration(random.Float64()*float64(maxFaultDuration-minFaultDuration))
		out = append(out, fault{at: time.Duration(at * float64(time.Second)), duration: d, name: v.name + " " + names[i],
			run: func(duration time.Duration) {
				v.override.Store(&overrides[i])
				time.Sleep(duration / 2)
				v.override.Store(nil)
			}})
	}
}

// failAs returns an override that runs requests and answers with the status of a refusal, without Not-Run.
func failAs(status int) override {
	return func(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool {
		u.CountRun(r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "stamp-"+u.ID)
		w.WriteHeader(status)
		return true
	}
}

// endInsideEvent answers with one whole event and the beginning of the next, in a stream that has neither a length nor chunks.
func endInsideEvent(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if first++; first >= tokens {
		return false
	}
	u.CountRun(id)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, u.ID)
	_, _ = fmt.Fprintf(conn, "id: %d\ndata: token %d\n\nid: %d\ndata: tok", first, first, first+1)
	return true
}
