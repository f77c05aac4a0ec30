// Package proc is the life of a stand-in process, which may crash and come back.
package proc
