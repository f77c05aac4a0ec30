package main

// The size that the system is designed for, and its budgets for control work.
const (
	targetEntries        = 360
	targetSides          = 660
	targetHosts          = targetEntries + targetSides
	targetTeams          = 3500
	targetModels         = 10
	targetPools          = 6  // pools of runners and stages; assumed
	subsetPerPool        = 20 // upstreams of each pool that an entry connects to
	changesPerDay        = 2200
	secondsPerDay        = 24 * 60 * 60
	linksPerEntry        = targetPools * subsetPerPool
	linksPerSide         = linksPerEntry * targetEntries / targetSides
	budgetBytesPerSecond = 6000
	budgetMemoryMB       = 32
	budgetCPUPercent     = 2.8 // of a core
	frameOverheadBytes   = 210 // of HTTP/2, TCP and IP for each message, see internal/fleet/gossip
)
