package node

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

const goodSettings = "node_name=n\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\n" +
	"internal_ports=3,4\nplatform.address=127.0.0.1:5\nbounds.grace_s=8\n"

func TestSettingsAreReloaded(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.conf")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	write(goodSettings)
	n, err := New(path, 0, zap.NewNop())
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); n.followSettings(ctx) }()
	waitForGrace := func(want time.Duration) {
		for end := time.Now().Add(10 * time.Second); n.settings.Load().Grace != want; time.Sleep(10 * time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("grace is %v", n.settings.Load().Grace))
		}
	}
	write(strings.Replace(goodSettings, "grace_s=8", "grace_s=6.5", 1))
	waitForGrace(6500 * time.Millisecond) // without a signal

	write(strings.Replace(goodSettings, "grace_s=8", "grace_s=5", 1))
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	waitForGrace(5 * time.Second)

	write("zone=\n")
	n.reload("test")
	c.Check(n.settings.Load().Grace, qt.Equals, 5*time.Second,
		qt.Commentf("a bad file leaves the settings as they are"))
	cancel()
	<-done
}
