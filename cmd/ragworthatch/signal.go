package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns a context that ends at the first signal, and one that ends at the second.
func stopSignals() (stop, kill context.Context) {
	stop, first := context.WithCancel(context.Background())
	kill, second := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		first()
		<-signals
		second()
	}()
	return stop, kill
}
