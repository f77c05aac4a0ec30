// Package mutant removes mechanisms from the program, one at a time, and checks that the tests of each one fail.
package mutant
