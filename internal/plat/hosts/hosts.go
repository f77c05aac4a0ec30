package hosts

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// List shows live and leaving hosts, with a lag.
type List interface {
	Hosts(ctx context.Context) ([]host.Host, error)
}
