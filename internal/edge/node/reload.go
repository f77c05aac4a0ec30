package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/platform"
)

// settingsPoll is how often the settings file is looked at, as it may change without a signal.
const settingsPoll = 2 * time.Second

// followSettings takes over the settings file at SIGHUP and when it changes.
func (n *Node) followSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := n.loaded
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stamp(n.path)
			n.reload("signal")
		case <-ticker.C:
			if now := stamp(n.path); now != last {
				last = now
				n.reload("file")
			}
		}
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// reload takes over the settings file; one that can't be read leaves the settings as they are.
func (n *Node) reload(reason string) {
	s, err := platform.LoadSettings(n.path)
	if err != nil {
		n.log.Error("reload failed, the settings stay", zap.String("reason", reason), zap.Error(err))
		return
	}
	before := n.settings.Load()
	n.settings.Store(&s)
	n.budget.Set(s.RetryRatio, s.RetrySlack)
	fixed := before.Front != s.Front || before.Ready != s.Ready || before.Store != s.Store || before.IP != s.IP ||
		before.PeerPort != s.PeerPort || before.Name != s.Name
	n.log.Info("reload", zap.String("reason", reason), zap.Duration("drainWithin", s.DrainWithin), zap.Duration("grace", s.Grace),
		zap.Float64("retryRatio", s.RetryRatio), zap.Int("retrySlack", s.RetrySlack), zap.Bool("needsRestart", fixed))
}
