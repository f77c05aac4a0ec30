// Package caller sends requests to an entry as a team does, and checks that each answer is whole.
package caller
