package where

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/head"
)

const (
	askTimeout     = 5 * time.Second
	maxAnswerBytes = 32 << 20
)

// Ask asks the entry at an address, as IP:port of its metrics, where a request would go, and then the leader that the entry
// follows, at the same port. The request is the text of an HTTP/1.1 request. It returns one answer for each process that
// was asked, and fails if one can't be reached.
func Ask(ctx context.Context, address string, request []byte) ([]Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	first, err := askOne(ctx, address, request)
	if err != nil || first.Leader == "" || first.Refused != "" || len(first.Upstreams) > 0 {
		return []Answer{first}, err
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	second, err := askOne(ctx, net.JoinHostPort(first.LeaderAddress, port), request)
	return []Answer{first, second}, err
}

func askOne(ctx context.Context, address string, request []byte) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(request))
	if err != nil {
		return Answer{}, fmt.Errorf("asking %s: %w", address, err)
	}
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return Answer{}, fmt.Errorf("asking %s: %w", address, err)
	}
	defer got.Body.Close()
	if err := head.Check(got); err != nil {
		return Answer{}, fmt.Errorf("asking %s: malformed answer: %w", address, err)
	}
	data, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, fmt.Errorf("asking %s: %w", address, err)
	}
	if got.StatusCode != http.StatusOK {
		return Answer{}, fmt.Errorf("asking %s: status %d: %s", address, got.StatusCode, bytes.TrimSpace(data))
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Answer{}, fmt.Errorf("asking %s: %w", address, err)
	}
	return a, nil
}
