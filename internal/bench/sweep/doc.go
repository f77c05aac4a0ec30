// Command sweep runs the scenarios with several seeds and prints how often each target is met, and the figures of the
// system's policy and of the naive one.
package main
