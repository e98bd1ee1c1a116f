package worker

import (
	"context"
	"testing"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
)

// A command whose worker does not answer ends with its context, and may have been executed.
func TestCommandEndsWithItsContext(t *testing.T) {
	server := nodetest.NewSilentServer(t)
	posted := make(chan msg.Input, 1)
	w := New(func(in msg.Input) { posted <- in })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !w.Do(ctx, msg.Command{ID: 1, Machine: "m-1", Addr: server.Address}) {
		t.Fatal("a command was not carried out")
	}
	server.AwaitConnections(1)
	nodetest.EndsWithin(t, callTimeout/4, func() {
		cancel()
		w.Wait()
	})
	if done, ok := (<-posted).(msg.CommandDone); !ok || done.Outcome != msg.Unknown {
		t.Errorf("posted %+v", done)
	}
}
