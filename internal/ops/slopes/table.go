package main

import (
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/place/agent"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
)

const (
	// packetHeaders are the TCP and IP headers of a message: one packet and its acknowledgement.
	packetHeaders = 2 * 52
	// entryGrowth and sideGrowth are the numbers of entries at which an entry's and a side's interval has doubled.
	entryGrowth = 360
	sideGrowth  = 120
	// httpBytes is counted around one call of the platform over HTTP.
	httpBytes = 700
	// plansPerDay is how often the plan changes; an assumption.
	plansPerDay = 288
	// viewsPerSecond is how often the view is rebuilt while only loads change.
	viewsPerSecond = 1
)

// line is one item of a role's cost.
type line struct {
	role, what string
	value      float64
	unit       string
	budget     float64 // 0 for none
}

// gossipFit is an entry's gossip in bytes a second, packet headers included, with intervals that did not grow.
type gossipFit struct {
	own     float64 // with other entries
	perSide float64 // for each side an entry
}

// growth is how much longer an interval is at a number of entries.
func growth(entries, doubled int) float64 { return 1 + float64(entries)/float64(doubled) }

func (f gossipFit) entry(entries, sides int) float64 {
	return f.own/growth(entries, entryGrowth) + f.perSide*float64(sides)/float64(entries)/growth(entries, sideGrowth)
}

// fitGossip takes two meshes with the same entries.
func fitGossip(few, many meshCost) gossipFit {
	ratio := func(m meshCost) float64 { return float64(m.sides) / float64(m.entries) }
	bytes := func(m meshCost) float64 { return m.entryBytes + m.messages*packetHeaders }
	slope := (bytes(many) - bytes(few)) / (ratio(many) - ratio(few))
	own := bytes(few) - slope*ratio(few)
	return gossipFit{own: own * growth(few.entries, entryGrowth), perSide: slope * growth(few.entries, sideGrowth)}
}

func printTable(l localCost, m []meshCost) {
	fit := fitGossip(m[0], m[1])
	fmt.Printf("fit: gossip of an entry is %.0f B/s and %.0f B/s for each side an entry, over the growth of the intervals; at %d entries and %d sides it gives %.0f B/s\n",
		fit.own, fit.perSide, m[3].entries, m[3].sides, fit.entry(m[3].entries, m[3].sides))
	gossip := fit.entry(targetEntries, targetSides)
	many := m[2]
	beat := timing.HeartbeatInterval.Seconds()
	status := float64(l.statusSize + frameBytes)
	hostList := (float64(l.hostListSize)*targetHosts + httpBytes) / timing.HostListInterval.Seconds()
	planRead := httpBytes/order.Interval.Seconds() + float64(l.planSize)*plansPerDay/secondsPerDay
	statuses := linksPerEntry / beat
	memberCPU := 100 * (statuses*l.statusMicros + viewsPerSecond*l.viewMicros) / 1e6
	heapMB := (l.teamBytes*targetTeams + l.hostBytes*targetHosts*2 + l.markBytes*1024 + float64(l.snapshotBytes)) / 1e6
	lines := []line{
		{"entry", "gossip", gossip, "B/s", budgetBytes},
		{"entry", "watches", linksPerEntry * status / beat, "B/s", budgetBytes},
		{"entry", "gossip and watches", gossip + linksPerEntry*status/beat, "B/s", budgetBytes},
		{"entry", "host list read whole", hostList, "B/s", budgetBytes},
		{"entry", "host list, conditional read", httpBytes / timing.HostListInterval.Seconds(), "B/s", budgetBytes},
		{"log reader", "reads of the log", httpBytes / timing.FeedInterval.Seconds(), "B/s", budgetBytes},
		{"entry", "membership", memberCPU, "% of a core", budgetCPU},
		{"entry", "gossip", many.cpu, "% of a core", budgetCPU},
		{"entry", "configuration, hosts and marks", heapMB, "MB", budgetMemoryMB},
		{"side", "watches", linksPerSide * status / beat, "B/s", budgetBytes},
		{"side", "gossip", fit.perSide / growth(targetEntries, sideGrowth), "B/s", budgetBytes},
		{"side", "plan stream", planRead, "B/s", budgetBytes},
		{"planner", "plan", 100 * l.planMillis / 5000, "% of a core", budgetCPU},
		{"platform", "appends to the plan stream", 1/lease.RenewInterval.Seconds() + float64(plansPerDay)/secondsPerDay + targetSides/order.ReportInterval.Seconds(), "a second", 0},
		{"platform", "reads of the plan stream", targetSides/order.Interval.Seconds() + targetEntries/agent.StandbyInterval.Seconds(), "a second", 0},
		{"platform", "reads of the config stream", 8 * 3 / timing.FeedInterval.Seconds(), "a second", 0},
		{"platform", "appends to the config stream", float64(changesPerDay) / secondsPerDay, "a second", 0},
	}
	fmt.Printf("\nat %d entries and %d sides:\n", targetEntries, targetSides)
	for _, x := range lines {
		budget := ""
		if x.budget > 0 {
			budget = fmt.Sprintf("%5.1f%% of the budget", 100*x.value/x.budget)
		}
		fmt.Printf("%-10s %-34s %9.2f %-12s %s\n", x.role, x.what, x.value, x.unit, budget)
	}
}
