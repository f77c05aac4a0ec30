package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/ragworthatch/ragworthatch/internal/wire/head"
)

const (
	// MaxBody bounds a JSON answer, in bytes.
	MaxBody = 16 << 20
	// maxErrorBody bounds the answer of a failed call, in bytes.
	maxErrorBody      = 4 << 10
	maxHeaderBytes    = 64 << 10 // of the headers of an answer
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 64
)

// Client calls one HTTP server of the platform.
type Client struct {
	base      string
	caller    httpc.Service // sends requests by way of transport
	transport *http.Transport
}

// Problem is the JSON body of a failed call.
type Problem struct {
	Message string `json:"message"`
	// Code is Refused, Rejected, NotTaken or empty.
	Code string `json:"code,omitempty"`
}

// The codes of a Problem.
const (
	Refused  = "refused"  // the call did not run
	Rejected = "rejected" // the call is invalid
	NotTaken = "notTaken" // the append had no effect
)

// Error is a failed call.
type Error struct {
	Sent    bool // a connection was made, so the server may have received the call
	Status  int  // 0 when there was no answer
	Problem Problem
	Cause   error
}

// Error names the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a client of the server at an IP:port address.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// The library opens a circuit breaker of this name after failures unless it is switched off.
	breaker.NoBreakerFor(address)
	return &Client{
		base:      "http://" + address,
		caller:    httpc.NewServiceWithClient(address, &http.Client{Transport: transport}),
		transport: transport,
	}
}

// CloseIdleConnections closes the idle connections, so that later calls open new ones.
func (c *Client) CloseIdleConnections() { c.transport.CloseIdleConnections() }

// Get decodes the answer to a GET into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	resp, err := c.Do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return decode(resp, out)
}

// Post sends in as JSON and decodes the answer into out.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	resp, err := c.Do(ctx, http.MethodPost, path, in, nil)
	if err != nil {
		return err
	}
	return decode(resp, out)
}

// Do sends one request and returns the answer, whose body the caller closes; a failed call and a status of 300 or above
// are an *Error.
func (c *Client) Do(ctx context.Context, method, path string, in any, header http.Header) (*http.Response, error) {
	body, err := encode(in)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.caller.DoRequest(req)
	if err != nil {
		return nil, &Error{Sent: connected.Load(), Cause: err}
	}
	if err := head.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, &Error{Sent: true, Cause: fmt.Errorf("malformed answer: %w", err)}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, statusError(resp)
	}
	return resp, nil
}

// IsSent reports whether a failed call may have reached the server.
func IsSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// encode returns in as JSON, or no body if in is nil.
func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}

// decode reads an answer of at most MaxBody bytes and decodes it from JSON.
func decode(resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		return &Error{Sent: true, Status: resp.StatusCode, Cause: err}
	}
	if len(data) > MaxBody {
		return &Error{Sent: true, Status: resp.StatusCode, Cause: fmt.Errorf("answer is longer than %d bytes", MaxBody)}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Sent: true, Status: resp.StatusCode, Cause: fmt.Errorf("malformed answer: %w", err)}
	}
	return nil
}

// statusError returns the error for an answer with a status of 300 or above, with the Problem in its body.
func statusError(resp *http.Response) error {
	defer resp.Body.Close()
	e := &Error{Sent: true, Status: resp.StatusCode}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if json.Unmarshal(data, &e.Problem) != nil || e.Problem.Message == "" {
		e.Problem = Problem{Message: "no reason given"}
	}
	e.Cause = fmt.Errorf("status %d: %s", resp.StatusCode, e.Problem.Message)
	return e
}
