package watch

import (
	"slices"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/platform"
)

// Zones returns the newest known records of evacuated zones.
func (w *Watcher) Zones() *zones.Set { return w.zones.Load() }

// ObserveZones takes records of evacuated zones that another entry knows.
func (w *Watcher) ObserveZones(records []zones.Record) {
	if len(records) > 0 {
		w.updateZones(func(s *zones.Set) *zones.Set { return s.WithRecords(records) }, "entry")
	}
}

// applyZones folds in the records of evacuated zones. A record that can't be decoded changes nothing.
func (w *Watcher) applyZones(read reading) {
	var records []zones.Record
	for _, r := range read.records {
		zone, ok := platform.EvacuatedZone(r)
		if !ok {
			continue
		}
		record, err := platform.DecodeEvacuation(r, read.era)
		if err != nil {
			w.o.Log.Warn("evacuation ignored", zap.Int64("offset", r.Offset), zap.Int64("era", read.era), zap.Error(err))
			if known, ok := w.Zones().Get(zone); ok {
				records = append(records, known)
			}
			continue
		}
		records = append(records, record)
	}
	w.updateZones(func(s *zones.Set) *zones.Set {
		if read.snapshot {
			return s.WithAll(records, read.era, read.end)
		}
		return s.WithRecords(records).WithEnd(read.era, read.end)
	}, "store")
}

// updateZones changes the set of records, and publishes the list of upstreams again if other zones are evacuated.
func (w *Watcher) updateZones(change func(*zones.Set) *zones.Set, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.zones.Load()
	next := change(before)
	w.zones.Store(next)
	was, now := before.Evacuated(), next.Evacuated()
	if slices.Equal(was, now) {
		return
	}
	for _, r := range next.Records() {
		if r.Evacuated != slices.Contains(was, r.Zone) {
			w.o.Log.Info("evacuation changed", zap.String("zone", r.Zone), zap.Bool("evacuated", r.Evacuated),
				zap.Int64("offset", r.Offset), zap.Int64("era", r.Era), zap.String("source", source))
		}
	}
	w.addReturned(was, now)
	w.publishHosts(w.hosts.Load())
}
