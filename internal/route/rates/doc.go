// Package rates learns how fast each engine of a pool reads prompts.
//
// It answers engines that read at another rate than assumed, all of them or some, and engines that are slowed for moments.
// The time of a first event holds more than reading: the network, results that are fetched, steps of other requests. So
// each observation is a lower bound of the rate, and the rate is a high quantile of the recent ones.
package rates
