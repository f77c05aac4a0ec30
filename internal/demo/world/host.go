package world

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/boot"
)

const (
	stageSlots   = 16
	engineSlots  = 12
	serviceSlots = 16
)

// Host is an upstream with the side beside it.
type Host struct {
	Name string
	Pool string
	Zone string
	Unit *base.Upstream
	HTTP *httpd.Server
	// Stop tells the side to shut down gracefully; Kill cuts it off.
	Stop context.CancelFunc
	Kill context.CancelFunc
	// Ended is closed when the side's process would have ended.
	Ended chan struct{}
	run   func()
}

// add starts an upstream's server, makes its side, and puts the host on the list.
func (w *World) add(pool, name, zone string, u *base.Upstream, handler http.Handler) error {
	server, err := httpd.New(Any, handler)
	if err != nil {
		return err
	}
	server.Follow(u.Proc)
	u.Faults.Set(Healthy())
	settings := setup.Side{
		Common: setup.Common{
			Role: setup.SideRole, Name: name, Region: Region, Zone: zone, Zones: Zones(),
			GRPC: Any, Log: w.LogHTTP.Address(), HostList: w.ListHTTP.Address(),
		},
		Pool: pool, Upstream: server.Address(),
	}
	side, err := boot.New(settings, w.zap)
	if err != nil {
		return err
	}
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	h := &Host{Name: name, Pool: pool, Zone: zone, Unit: u, HTTP: server, Stop: stopNow, Kill: killNow, Ended: make(chan struct{})}
	w.Hosts[name] = h
	w.Roster.Put(host.Host{Name: name, Address: side.Address(), Zone: zone, Region: Region, Pool: pool, State: host.Live})
	h.run = func() {
		defer close(h.Ended)
		if err := side.Run(stop, kill); err != nil {
			w.zap.Error("side ended", zap.String("side", name), zap.Error(err))
		}
	}
	return nil
}

// Healthy is the fault of a stand-in that has none but the lags of its reports.
func Healthy() faults.Fault {
	return faults.Fault{LoadLag: reportLag, EventLag: cacheEventLag}
}
