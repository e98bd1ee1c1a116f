package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// runUntilSignal runs f with a context that ends when the program is told to end, or when f calls stop.
func runUntilSignal(ctx context.Context, f func(ctx context.Context, stop context.CancelFunc) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return f(ctx, stop)
}
