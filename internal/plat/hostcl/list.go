package hostcl

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/plat/client"
	"github.com/ragworthatch/ragworthatch/internal/plat/hosts"
)

// List is the host list at one address.
type List struct {
	client *client.Client
}

// Reply is the answer to a read of the list.
type Reply struct {
	Hosts []host.Host `json:"hosts"`
}

var _ hosts.List = (*List)(nil)

// New returns the host list at an IP:port address.
func New(address string) *List { return &List{client: client.New(address)} }

// Hosts returns all hosts shown.
func (l *List) Hosts(ctx context.Context) ([]host.Host, error) {
	var reply Reply
	if err := l.client.Get(ctx, "/v1/hosts", &reply); err != nil {
		return nil, err
	}
	return reply.Hosts, nil
}
