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

// settingsPoll is the interval of checks of the settings file, which may change without a signal.
const settingsPoll = 2 * time.Second

// followSettings reloads the settings file on SIGHUP and when it has changed, until ctx ends.
func (n *Node) followSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := n.settingsStamp
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stampOf(n.settingsPath)
			n.reload("signal")
		case <-ticker.C:
			if now := stampOf(n.settingsPath); now != last {
				last = now
				n.reload("file")
			}
		}
	}
}

// fileStamp identifies a version of a file; it is zero for a file that cannot be read.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// reload applies the settings file; if it is invalid, the current settings stay.
func (n *Node) reload(reason string) {
	s, err := platform.LoadSettings(n.settingsPath)
	if err != nil {
		n.log.Error("reload failed, the current settings stay", zap.String("reason", reason), zap.Error(err))
		return
	}
	before := n.settings.Load()
	n.settings.Store(&s)
	n.budget.Set(s.RetryRatio, s.RetrySlack)
	n.resizeMemory(s)
	needsRestart := before.FrontAddress != s.FrontAddress || before.ReadyAddress != s.ReadyAddress ||
		before.StoreAddress != s.StoreAddress || before.IP != s.IP || before.PeerPort != s.PeerPort || before.Name != s.Name ||
		(s.MemoryBytes > 0) != (n.memory != nil)
	n.log.Info("reload", zap.String("reason", reason), zap.Duration("drainWithin", s.DrainWithin),
		zap.Duration("grace", s.Grace),
		zap.Float64("retryRatio", s.RetryRatio), zap.Int("retrySlack", s.RetrySlack),
		zap.Bool("needsRestart", needsRestart))
}
