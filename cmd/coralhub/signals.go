package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// runUntilSignal calls f with a context that ends on an interrupt or SIGTERM, or when f calls stop.
func runUntilSignal(ctx context.Context, f func(ctx context.Context, stop context.CancelFunc) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return f(ctx, stop)
}
