// Package proc simulates the process of a stand-in, which may crash and restart.
package proc
