package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// early receives a SIGHUP that comes while the process starts; nobody reads it, as the settings are read later.
var early = make(chan os.Signal, 1)

// This package imports nothing else, so that Go initializes it before most others.
func init() { signal.Notify(early, syscall.SIGHUP) }

// Reset restores the default action of SIGHUP.
func Reset() { signal.Stop(early) }
