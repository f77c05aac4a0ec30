// Package mutant takes mechanisms out of the program, one at a time, and checks that the tests named for them fail.
package mutant
