package main

// Target is the size that the design is for.
const (
	targetEntries  = 360
	targetSides    = 660
	targetHosts    = targetEntries + targetSides
	targetTeams    = 3500
	targetModels   = 10
	targetPools    = 6  // pools of runners and stages; an assumption
	subsetPerPool  = 20 // upstreams of a pool that an entry is connected to
	changesPerDay  = 2200
	secondsPerDay  = 24 * 60 * 60
	linksPerEntry  = targetPools * subsetPerPool
	linksPerSide   = linksPerEntry * targetEntries / targetSides
	budgetBytes    = 6000 // a second
	budgetMemoryMB = 32
	budgetCPU      = 2.8 // percent of a core
	frameBytes     = 210 // around each message: HTTP/2, TCP and IP, see internal/fleet/gossip
)
