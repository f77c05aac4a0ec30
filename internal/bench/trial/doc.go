// Package trial simulates scenarios in virtual time: the real routing and limit packages run against simulated engines,
// and are compared with a naive policy.
package trial
