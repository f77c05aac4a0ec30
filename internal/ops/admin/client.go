package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/wire/head"
)

// maxResponseBytes is the maximum size of a response body that is read.
const maxResponseBytes = 64 << 20

// Client calls the operators' HTTP interface of one entry.
type Client struct {
	entry string
	token string
}

// New returns a client of the entry at an IP:port address; token is an operator's bearer token.
func New(entry, token string) *Client { return &Client{entry: entry, token: token} }

// Get requests a path and decodes the response into out. An error that the entry reports is a *fault.Error.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends in as JSON and decodes the response into out. An error that the entry reports is a *fault.Error.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, data, out)
}

// OutcomePath returns the path of one action with its query. An empty team or service matches all.
func OutcomePath(key, team, service string) string {
	query := url.Values{}
	if team != "" {
		query.Set("team", team)
	}
	if service != "" {
		query.Set("service", service)
	}
	path := strings.Replace(PathOutcome, ":key", url.PathEscape(key), 1)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return path
}

// call sends a request with an optional JSON body and decodes the response into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return fmt.Errorf("entry %s: %w", c.entry, err)
	}
	defer resp.Body.Close()
	if err := head.Check(resp); err != nil {
		return fmt.Errorf("entry %s: malformed answer: %w", c.entry, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("entry %s: %w", c.entry, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("entry %s: malformed answer: %w", c.entry, err)
	}
	return nil
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Verdict fault.Verdict `json:"verdict"`
		Code    fault.Code    `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// decodeError returns the error in a response; it is a *fault.Error if the body carries one.
func decodeError(status int, data []byte) error {
	var p errorBody
	if json.Unmarshal(data, &p) != nil || p.Error.Message == "" {
		return fmt.Errorf("entry answered with status %d", status)
	}
	return fault.New(p.Error.Verdict, p.Error.Code, "%s", p.Error.Message)
}
