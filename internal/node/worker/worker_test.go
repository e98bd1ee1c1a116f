package worker

import (
	"context"
	"testing"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
)

// A command to a worker that does not answer ends when its context ends. Its outcome is unknown: it may have been
// executed.
func TestCommandEndsOnContextCancellation(t *testing.T) {
	server := nodetest.NewUnresponsiveServer(t)
	posted := make(chan msg.Input, 1)
	w := New(func(in msg.Input) { posted <- in })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !w.Do(ctx, msg.Command{ID: 1, Machine: "m-1", Addr: server.Address}) {
		t.Fatal("Do returned false for a command")
	}
	server.AwaitConnections(1)
	nodetest.AssertReturnsWithin(t, callTimeout/4, func() {
		cancel()
		w.Wait()
	})
	if done, ok := (<-posted).(msg.CommandDone); !ok || done.Outcome != msg.Unknown {
		t.Errorf("posted %+v, want a CommandDone with outcome Unknown", done)
	}
}
