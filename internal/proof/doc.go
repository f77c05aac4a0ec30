// Package proof tests the guarantees about request outcomes end to end, under seeded faults in virtual time.
package proof
