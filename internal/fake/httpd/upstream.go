package httpd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/runnerhttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
)

const maxRequestBytes = 16 << 20

// Upstream returns the handler of a member of a stage pool or of a plain service.
func Upstream(u upstream.Upstream) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call", func(w http.ResponseWriter, r *http.Request) { serveCall(u, w, r) })
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		load, err := u.Load(r.Context())
		reply(w, load, err)
	})
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, u.Ping(r.Context()))
	})
	return mux
}

// Engine returns the handler of a model engine.
func Engine(u upstream.Upstream, e runner.Engine) *http.ServeMux {
	mux := Upstream(u)
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) {
		state, err := e.State(r.Context())
		reply(w, state, err)
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		var o runner.Order
		if read(w, r, &o) {
			reply(w, struct{}{}, e.Order(r.Context(), o))
		}
	})
	mux.HandleFunc("GET /v1/cacheEvents", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			problem(w, http.StatusBadRequest, client.Rejected, err)
			return
		}
		events, err := e.CacheEvents(r.Context(), after)
		reply(w, runnerhttp.EventsReply{Events: events}, err)
	})
	return mux
}

// serveCall runs one call. A generation is answered as a stream of events, any other call with one event.
func serveCall(u upstream.Upstream, w http.ResponseWriter, r *http.Request) {
	var c upstream.Call
	if !read(w, r, &c) {
		return
	}
	s, err := u.Call(r.Context(), c)
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer s.Close()
	if c.Kind == string(stage.Generate) {
		writeStream(r.Context(), w, s)
		return
	}
	e, err := s.Next(r.Context())
	if err != nil {
		// Without a status the caller cannot tell whether the call ran.
		panic(http.ErrAbortHandler)
	}
	reply(w, e, nil)
}

// writeStream sends the events of a stream as server-sent events, and breaks the connection if the upstream crashes.
func writeStream(ctx context.Context, w http.ResponseWriter, s upstream.Stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		e, err := s.Next(ctx)
		var failed *upstream.Error
		if errors.As(err, &failed) && failed.Crashed {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return
		}
		data, err := json.Marshal(e)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush.Flush()
	}
}

// read decodes the JSON body of a request, or answers 400 Bad Request and returns false.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		problem(w, http.StatusBadRequest, client.Rejected, err)
	}
	return err == nil
}

// reply sends a value as JSON, or the status and the code of an error.
func reply(w http.ResponseWriter, value any, err error) {
	var failed *upstream.Error
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.As(err, &failed) && failed.Refused:
		problem(w, http.StatusConflict, client.Refused, failed.Cause)
	case errors.As(err, &failed) && failed.Rejected:
		problem(w, http.StatusUnprocessableEntity, client.Rejected, failed.Cause)
	default:
		problem(w, http.StatusInternalServerError, "", err)
	}
}

// problem sends an error as JSON with a status and a code, which may be empty.
func problem(w http.ResponseWriter, status int, code string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(client.Problem{Message: err.Error(), Code: code})
}
