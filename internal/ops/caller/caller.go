package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/ragworthatch/ragworthatch/internal/wire/head"
)

const (
	// maxResponseBytes is the maximum size of an answer that is read.
	maxResponseBytes   = 64 << 20
	maxIdleConnections = 512
)

// Caller calls pipelines over the HTTP interface of entries; it keeps connections open between calls.
type Caller struct {
	service httpc.Service
}

// New returns a caller; name identifies its calls in the logs of the HTTP library.
func New(name string) *Caller {
	// The library opens a circuit breaker of this name after failures unless it is switched off.
	breaker.NoBreakerFor(name)
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	return &Caller{service: httpc.NewServiceWithClient(name, &http.Client{Transport: transport})}
}

// Call sends a request to the entry at an IP:port address and reads the whole answer. Failures are in Answer.Err.
func (c *Caller) Call(ctx context.Context, entry string, r Request) Answer {
	start := time.Now()
	a := c.send(ctx, entry, r, start)
	a.Latency = time.Since(start)
	return a
}

// send makes the call that started at start; it leaves Latency unset.
func (c *Caller) send(ctx context.Context, entry string, r Request, start time.Time) Answer {
	body, err := json.Marshal(requestBody{
		RequestID: r.ID, DeadlineMs: r.Deadline.Milliseconds(), Key: r.Key, Stream: r.Stream, Input: r.Input,
	})
	if err != nil {
		return Answer{Err: err}
	}
	address := "http://" + entry + "/v1/pipelines/" + url.PathEscape(r.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	if err := head.Check(resp); err != nil {
		return Answer{Err: fmt.Errorf("malformed answer: %w", err)}
	}
	a := Answer{Status: resp.StatusCode}
	limited := io.LimitReader(resp.Body, maxResponseBytes)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(&a, limited, r, start)
		return a
	}
	readBody(&a, limited, r)
	return a
}

// readBody reads an answer that is not streamed into a.
func readBody(a *Answer, from io.Reader, r Request) {
	data, err := io.ReadAll(from)
	if err != nil {
		a.Err = err
		return
	}
	if a.Status != http.StatusOK {
		a.decodeError(data, r)
		return
	}
	a.decodeAnswer(data, r, nil)
}

// decodeError decodes the body of an error response.
func (a *Answer) decodeError(data []byte, r Request) {
	var e errorBody
	if err := json.Unmarshal(data, &e); err != nil {
		a.Err = err
		return
	}
	if e.Error.Verdict == "" {
		a.Err = errors.New("error without a verdict")
		return
	}
	a.Ended = true
	a.Verdict, a.Action = e.Error.Verdict, e.Error.Action
	a.Code, a.Message = e.Error.Code, e.Error.Message
	if e.RequestID != "" && e.RequestID != r.ID {
		a.Err = fmt.Errorf("error for request %q", e.RequestID)
	}
}

// decodeAnswer decodes and verifies the body of an answer; tokens are those received before it in a stream.
func (a *Answer) decodeAnswer(data []byte, r Request, tokens []string) {
	var w answerBody
	if err := json.Unmarshal(data, &w); err != nil {
		a.Err = err
		return
	}
	if a.Ended {
		a.Duplicates++
	}
	a.Ended = true
	a.Preset, a.Revision, a.Replayed = w.Preset, w.Revision, w.Replayed
	a.Result, a.Tokens = w.Result, w.Count
	content := []byte(w.Result)
	switch {
	case w.Text != nil:
		a.Text = *w.Text
		content = []byte(a.Text)
	case len(w.Result) == 0:
		a.Text = strings.Join(tokens, "")
		content = []byte(a.Text)
	}
	a.Err = w.verify(r, content, tokens)
	a.Whole = a.Err == nil
}

// verify checks the request ID, the completeness mark and the digest of an answer, and the token count of a stream.
func (w answerBody) verify(r Request, content []byte, tokens []string) error {
	sum := sha256.Sum256(content)
	switch {
	case r.ID != "" && w.RequestID != r.ID:
		return fmt.Errorf("answer to request %q", w.RequestID)
	case !w.Whole:
		return errors.New("answer does not say that it is whole")
	case hex.EncodeToString(sum[:]) != w.Digest:
		return errors.New("digest does not match the content")
	case len(w.Result) == 0 && w.Text == nil && w.Count != len(tokens):
		return fmt.Errorf("answer counts %d tokens, and %d came", w.Count, len(tokens))
	}
	return nil
}
