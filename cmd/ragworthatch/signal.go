package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns a context that ends at the first SIGTERM or SIGINT, and one that ends at the second.
func stopSignals() (stop, kill context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelKill()
	}()
	return stop, kill
}
