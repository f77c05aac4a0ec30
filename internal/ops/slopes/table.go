package main

import (
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/place/agent"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
)

const (
	// packetHeaders is the size of the TCP and IP headers of a message, one packet and its acknowledgement, in bytes.
	packetHeaders = 2 * 52
	// entryIntervalDoubling and sideIntervalDoubling are the numbers of entries at which the gossip intervals of an entry
	// and of a side have doubled.
	entryIntervalDoubling = 360
	sideIntervalDoubling  = 120
	// httpCallBytes is the overhead of an HTTP call of the platform, in bytes.
	httpCallBytes = 700
	// plansPerDay is the assumed number of changes of the plan.
	plansPerDay = 288
	// viewsPerSecond is the rate at which the view is rebuilt while only loads change.
	viewsPerSecond = 1
)

// costItem is one row of the cost table.
type costItem struct {
	role, name string
	value      float64
	unit       string
	budget     float64 // in the same unit; 0 means no budget
}

// gossipFit is a linear model of the gossip traffic of an entry in bytes a second, packet headers included, at the
// shortest intervals.
type gossipFit struct {
	perEntry float64 // traffic with other entries
	perSide  float64 // traffic for each side an entry, that is sides divided by entries
}

// intervalGrowth returns the factor by which an interval is longer with the given number of entries.
func intervalGrowth(entries, doubled int) float64 { return 1 + float64(entries)/float64(doubled) }

// entryRate returns the gossip traffic of an entry in bytes a second.
func (f gossipFit) entryRate(entries, sides int) float64 {
	return f.perEntry/intervalGrowth(entries, entryIntervalDoubling) +
		f.perSide*float64(sides)/float64(entries)/intervalGrowth(entries, sideIntervalDoubling)
}

// fitGossip fits the model to two meshes with the same number of entries.
func fitGossip(few, many meshCost) gossipFit {
	ratio := func(m meshCost) float64 { return float64(m.sides) / float64(m.entries) }
	bytes := func(m meshCost) float64 { return m.entryBytes + m.messages*packetHeaders }
	slope := (bytes(many) - bytes(few)) / (ratio(many) - ratio(few))
	own := bytes(few) - slope*ratio(few)
	return gossipFit{perEntry: own * intervalGrowth(few.entries, entryIntervalDoubling),
		perSide: slope * intervalGrowth(few.entries, sideIntervalDoubling)}
}

// printTable prints the cost of each role at the target size. The first two meshes must have the same number of
// entries, the third is taken for the CPU time, and the fourth checks the fit.
func printTable(l localCost, m []meshCost) {
	fit := fitGossip(m[0], m[1])
	fmt.Printf("fit: gossip of an entry is %.0f B/s and %.0f B/s for each side an entry, over the growth of the intervals; at %d entries and %d sides it gives %.0f B/s\n",
		fit.perEntry, fit.perSide, m[3].entries, m[3].sides, fit.entryRate(m[3].entries, m[3].sides))
	gossip := fit.entryRate(targetEntries, targetSides)
	equalMesh := m[2]
	heartbeat := timing.HeartbeatInterval.Seconds()
	status := float64(l.statusSize + frameOverheadBytes)
	hostList := (float64(l.hostListSize)*targetHosts + httpCallBytes) / timing.HostListInterval.Seconds()
	planRead := httpCallBytes/order.Interval.Seconds() + float64(l.planSize)*plansPerDay/secondsPerDay
	statuses := linksPerEntry / heartbeat
	memberCPU := 100 * (statuses*l.statusMicros + viewsPerSecond*l.viewMicros) / 1e6
	heapMB := (l.teamBytes*targetTeams + l.hostBytes*targetHosts*2 + l.markBytes*1024 + float64(l.snapshotBytes)) / 1e6
	items := []costItem{
		{"entry", "gossip", gossip, "B/s", budgetBytesPerSecond},
		{"entry", "watches", linksPerEntry * status / heartbeat, "B/s", budgetBytesPerSecond},
		{"entry", "gossip and watches", gossip + linksPerEntry*status/heartbeat, "B/s", budgetBytesPerSecond},
		{"entry", "host list read whole", hostList, "B/s", budgetBytesPerSecond},
		{"entry", "host list, conditional read", httpCallBytes / timing.HostListInterval.Seconds(), "B/s",
			budgetBytesPerSecond},
		{"log reader", "reads of the log", httpCallBytes / timing.FeedInterval.Seconds(), "B/s", budgetBytesPerSecond},
		{"entry", "membership", memberCPU, "% of a core", budgetCPUPercent},
		{"entry", "gossip", equalMesh.cpu, "% of a core", budgetCPUPercent},
		{"entry", "configuration, hosts and marks", heapMB, "MB", budgetMemoryMB},
		{"side", "watches", linksPerSide * status / heartbeat, "B/s", budgetBytesPerSecond},
		{"side", "gossip", fit.perSide / intervalGrowth(targetEntries, sideIntervalDoubling), "B/s", budgetBytesPerSecond},
		{"side", "plan stream", planRead, "B/s", budgetBytesPerSecond},
		{"planner", "plan", 100 * l.planMillis / 5000, "% of a core", budgetCPUPercent},
		{"platform", "appends to the plan stream", 1/lease.RenewInterval.Seconds() + float64(plansPerDay)/secondsPerDay + targetSides/order.ReportInterval.Seconds(), "a second", 0},
		{"platform", "reads of the plan stream", targetSides/order.Interval.Seconds() + targetEntries/agent.StandbyInterval.Seconds(), "a second", 0},
		{"platform", "reads of the config stream", 8 * 3 / timing.FeedInterval.Seconds(), "a second", 0},
		{"platform", "appends to the config stream", float64(changesPerDay) / secondsPerDay, "a second", 0},
	}
	fmt.Printf("\nat %d entries and %d sides:\n", targetEntries, targetSides)
	for _, item := range items {
		budget := ""
		if item.budget > 0 {
			budget = fmt.Sprintf("%5.1f%% of the budget", 100*item.value/item.budget)
		}
		fmt.Printf("%-10s %-34s %9.2f %-12s %s\n", item.role, item.name, item.value, item.unit, budget)
	}
}
