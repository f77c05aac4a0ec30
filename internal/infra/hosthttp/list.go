package hosthttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// List is the host list at one address; it reads the list again only if it has changed.
type List struct {
	client *client.Client

	mu        sync.Mutex
	etag      string // of the last list; empty if the server sent none
	last      []host.Host
	lastBytes int
}

// Reply is the answer to a read of the list.
type Reply struct {
	Hosts []host.Host `json:"hosts"`
}

var (
	_ hosts.List  = (*List)(nil)
	_ hosts.Sized = (*List)(nil)
)

// New returns the host list at an IP:port address.
func New(address string) *List { return &List{client: client.New(address)} }

// Hosts returns all hosts on the list.
func (l *List) Hosts(ctx context.Context) ([]host.Host, error) {
	resp, err := l.client.Do(ctx, http.MethodGet, "/v1/hosts", nil, l.conditionalHeader())
	var failed *client.Error
	if errors.As(err, &failed) && failed.Status == http.StatusNotModified {
		return l.reuseLast(), nil
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, client.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(data) > client.MaxBody {
		return nil, fmt.Errorf("host list is longer than %d bytes", client.MaxBody)
	}
	var reply Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("malformed host list: %w", err)
	}
	l.store(reply.Hosts, resp.Header.Get("ETag"), len(data))
	return reply.Hosts, nil
}

// LastBytes returns the size of the last answer, 0 if the list had not changed.
func (l *List) LastBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastBytes
}

// conditionalHeader asks for the list only if it differs from the last one.
func (l *List) conditionalHeader() http.Header {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.etag == "" {
		return nil
	}
	return http.Header{"If-None-Match": {l.etag}}
}

// reuseLast returns the last list, after an answer that it has not changed.
func (l *List) reuseLast() []host.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastBytes = 0
	return l.last
}

// store keeps a list with its entity tag and the size of the answer.
func (l *List) store(list []host.Host, tag string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.etag, l.lastBytes = list, tag, bytes
}
