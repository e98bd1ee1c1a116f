package peer

import (
	"context"
	"net"
	"sync"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
	"coralhub/wire"
)

func newPeers(t *testing.T, address string) (*Peers, chan msg.Input) {
	t.Helper()
	cfg := &config.Config{}
	cfg.Node, cfg.Peers = "n1", []config.Peer{{Node: "n2", Address: address}}
	posted := make(chan msg.Input, 2*maxConcurrentCalls)
	return New(cfg, func(in msg.Input) { posted <- in }), posted
}

// Calls to a peer that does not answer end with their context.
func TestCallsEndWithTheirContext(t *testing.T) {
	server := nodetest.NewSilentServer(t)
	p, posted := newPeers(t, server.Address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, e := range []msg.Effect{msg.Forward{Node: "n2"}, msg.HeartbeatBatch{Node: "n2"}, msg.SendPeerUpdate{Node: "n2"}} {
		if !p.Do(ctx, e) {
			t.Fatalf("%T was not carried out", e)
		}
	}
	var collecting sync.WaitGroup
	collecting.Go(func() {
		if statuses := p.CollectStatus(ctx); len(statuses) > 0 {
			t.Errorf("collected %v", statuses)
		}
	})
	server.AwaitConnections(2) // one is for what shows that nodes are alive
	nodetest.EndsWithin(t, callTimeout/2, func() {
		cancel()
		collecting.Wait()
		p.Wait()
		p.Close()
	})
	if done, ok := (<-posted).(msg.ForwardDone); !ok || done.Response != nil || done.Busy {
		t.Errorf("posted %+v", done)
	}
	if len(posted) > 0 {
		t.Errorf("posted %+v too", <-posted)
	}
}

// A call whose peer does not even read is held up while it is sent, which no context ends: Close does.
func TestCloseEndsCallsThatAreBeingSent(t *testing.T) {
	server := nodetest.NewSilentServer(t)
	p, _ := newPeers(t, server.Address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const longerThanSocketBuffers = 16 << 20
	p.Do(ctx, msg.SendPeerUpdate{Node: "n2", Change: wire.Change{Value: make([]byte, longerThanSocketBuffers)}})
	server.AwaitConnections(1)
	nodetest.EndsWithin(t, callTimeout, func() {
		cancel()
		p.Close()
		p.Wait()
	})
}

// No connection is opened after Close.
func TestNoConnectionsAfterClose(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p, _ := newPeers(t, l.Addr().String())
	p.Close()
	if _, err := p.connect(t.Context(), connectionKey{"n2", false}); err == nil {
		t.Error("connected")
	}
	if len(p.connections) > 0 {
		t.Errorf("%d connections", len(p.connections))
	}
}
