package kvstore

import (
	"context"
	"sync"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
)

// All calls and loops of a store end when their context ends, even if the service does not respond.
func TestCallsEndOnContextCancellation(t *testing.T) {
	server := nodetest.NewUnresponsiveServer(t)
	cfg := &config.Config{}
	cfg.External.State = server.Address
	cfg.Cluster.State = config.State{RPS: 100, WriteRPS: 100, TxnOps: 8}
	posted := make(chan msg.Input, 10)
	s := New(cfg, func() msg.Micros { return 1 }, func(in msg.Input) { posted <- in })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	effects := []msg.Effect{
		msg.Commit{ID: 1},
		msg.Read{ID: 2},
		msg.GrantLease{TTL: 3_000_000},
		msg.RenewLease{Lease: 4, TTL: 3_000_000},
	}
	for _, e := range effects {
		if !s.Do(ctx, e) {
			t.Fatalf("Do(%T) returned false", e)
		}
	}
	var loops sync.WaitGroup
	loops.Go(func() { s.ListAndWatch(ctx) })
	loops.Go(func() { s.RenewLeases(ctx) })
	server.AwaitConnections(len(effects) + 1) // including that of ListAndWatch
	nodetest.AssertReturnsWithin(t, renewTimeout/2, func() {
		cancel()
		loops.Wait()
		s.Wait()
	})
	if len(posted) != len(effects) {
		t.Errorf("%d results posted, want one for each of %d effects", len(posted), len(effects))
	}
}
