// Package child runs the program as a process of its own, for tests.
package child
