// Package hangup keeps a SIGHUP that comes while the process starts from ending it.
package hangup
