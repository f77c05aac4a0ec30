// Package proof checks the promises about outcomes from outside, under seeded faults in virtual time.
package proof
