package httpd

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosthttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/infra/loghttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
	"github.com/ragworthatch/ragworthatch/internal/infra/weighthttp"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// Log returns the handler of a log service.
func Log(s logs.Service) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		var in loghttp.AppendRequest
		if !read(w, r, &in) {
			return
		}
		first, err := s.Append(r.Context(), r.PathValue("stream"), in.Records)
		replyLog(w, loghttp.AppendReply{First: &first}, err)
	})
	mux.HandleFunc("GET /v1/streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, errFrom := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		limit, errLimit := strconv.Atoi(r.URL.Query().Get("limit"))
		if err := errors.Join(errFrom, errLimit); err != nil {
			problem(w, http.StatusBadRequest, client.Rejected, err)
			return
		}
		batch, err := s.Read(r.Context(), r.PathValue("stream"), from, limit)
		replyLog(w, batch, err)
	})
	return mux
}

// Hosts returns the handler of a host list.
func Hosts(l hosts.List) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		listed, err := l.Hosts(r.Context())
		if err == nil && notModified(w, r, listed) {
			return
		}
		reply(w, hosthttp.Reply{Hosts: listed}, err)
	})
	return mux
}

// notModified sets the ETag of the list, and answers 304 Not Modified if the reader has this version already.
func notModified(w http.ResponseWriter, r *http.Request, listed []host.Host) bool {
	data, _ := json.Marshal(listed) // encoding a host cannot fail
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") != tag {
		return false
	}
	w.WriteHeader(http.StatusNotModified)
	return true
}

// Weights returns the handler of a weight store.
func Weights(s weight.Store) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models/{model}", func(w http.ResponseWriter, r *http.Request) {
		size, err := s.Size(r.Context(), r.PathValue("model"))
		if err != nil {
			problem(w, http.StatusNotFound, client.Rejected, err)
			return
		}
		reply(w, weighthttp.Reply{SizeBytes: size, BytesPerSecond: s.BytesPerSecond()}, nil)
	})
	return mux
}

// replyLog answers a call of the log service. It breaks the connection when an append may have taken effect, so that
// the caller cannot tell either.
func replyLog(w http.ResponseWriter, value any, err error) {
	var failed *logs.Error
	switch {
	case err == nil:
		reply(w, value, nil)
	case errors.As(err, &failed) && failed.MayHaveAppended:
		panic(http.ErrAbortHandler)
	default:
		problem(w, http.StatusServiceUnavailable, client.NotTaken, err)
	}
}
