package boot

import (
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/node"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/oper/setup"
	"github.com/ragworthatch/ragworthatch/internal/plat/hostcl"
	"github.com/ragworthatch/ragworthatch/internal/plat/logcl"
)

// New listens on the entry's addresses; nothing is served before Run.
func New(s setup.Entry, log *zap.Logger) (*node.Node, error) {
	return node.New(node.Options{
		Name:          s.Name,
		Zone:          s.Zone,
		HTTP:          s.HTTP,
		OperatorToken: s.OperatorTokenDigest,
		Log:           logcl.New(s.Log),
		List:          hostcl.New(s.HostList),
		Dial:          link.Dial,
		Zap:           log.With(zap.String("entry", s.Name)),
	})
}
