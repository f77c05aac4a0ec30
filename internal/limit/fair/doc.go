// Package fair decides who gets a scarce resource, such as the upstreams of a pool, while callers of different ranks ask
// for more of it than there is.
//
// It answers these load conditions: a burst of urgent work that needs most of a resource, a burst of less urgent work, and
// a lasting demand above the capacity. Less urgent work gets what the more urgent work leaves, and a floor. Refused callers
// come back spread over time. Amounts are in units of the resource, such as pieces of a stage pool.
package fair
