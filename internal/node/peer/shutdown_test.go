package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

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

// Calls to a peer that does not answer end when their context ends.
func TestCallsEndOnContextCancellation(t *testing.T) {
	server := nodetest.NewUnresponsiveServer(t)
	p, posted := newPeers(t, server.Address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	effects := []msg.Effect{
		msg.Forward{Node: "n2"},
		msg.HeartbeatBatch{Node: "n2"},
		msg.SendPeerUpdate{Node: "n2"},
	}
	for _, e := range effects {
		if !p.Do(ctx, e) {
			t.Fatalf("Do(%T) returned false", e)
		}
	}
	var collecting sync.WaitGroup
	collecting.Go(func() {
		if statuses := p.CollectStatus(ctx); len(statuses) > 0 {
			t.Errorf("collected %v, want no status", statuses)
		}
	})
	server.AwaitConnections(2) // one of them is the liveness connection
	nodetest.AssertReturnsWithin(t, callTimeout/2, func() {
		cancel()
		collecting.Wait()
		p.Wait()
		p.Close()
	})
	if done, ok := (<-posted).(msg.ForwardDone); !ok || done.Response != nil || done.Busy {
		t.Errorf("posted %+v, want a ForwardDone without response that is not busy", done)
	}
	if len(posted) > 0 {
		t.Errorf("also posted %+v, want one result", <-posted)
	}
}

// A call to a peer that does not read its connection blocks while it is sent. Close ends it; the end of the context
// doesn't.
func TestCloseEndsBlockedWrites(t *testing.T) {
	server := nodetest.NewUnresponsiveServer(t)
	p, _ := newPeers(t, server.Address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const valueBytes = 16 << 20 // more than the socket buffers hold
	p.Do(ctx, msg.SendPeerUpdate{Node: "n2", Change: wire.Change{Value: make([]byte, valueBytes)}})
	server.AwaitConnections(1)
	nodetest.AssertReturnsWithin(t, callTimeout, func() {
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
	if _, err := p.connect(t.Context(), connectionKey{node: "n2"}); err == nil {
		t.Error("connected, want an error")
	}
	if len(p.connections) > 0 {
		t.Errorf("%d connections", len(p.connections))
	}
}

// slowHandler responds to heartbeats only once its channel answer is closed.
type slowHandler struct {
	called chan struct{}
	answer chan struct{}
}

func (h slowHandler) Heartbeat(wire.Heartbeat) msg.Respond {
	h.called <- struct{}{}
	<-h.answer
	return msg.Respond{}
}

func (slowHandler) HeartbeatBatch(msg.HeartbeatBatchIn) msg.Respond { return msg.Respond{} }

// Closing a server closes its connections at once. Wait then waits for the calls that are still being handled.
func TestClosedServer(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := slowHandler{make(chan struct{}), make(chan struct{})}
	server := NewServer(func(msg.Input) {}, handler, func() Status { return Status{} })
	var accepting sync.WaitGroup
	accepting.Go(func() { _ = server.Serve(l) })
	p, posted := newPeers(t, l.Addr().String())
	p.Do(t.Context(), msg.Forward{Node: "n2"})
	<-handler.called

	_ = l.Close()
	server.Close()
	if done, ok := (<-posted).(msg.ForwardDone); !ok || done.Response != nil || done.Busy {
		t.Errorf("posted %+v, want a ForwardDone without response that is not busy", done)
	}
	accepting.Wait()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Wait()
	}()
	select {
	case <-ended:
		t.Error("Wait returned before the end of a call")
	case <-time.After(20 * time.Millisecond):
	}
	close(handler.answer)
	<-ended
	p.Close()
	p.Wait()
}

// A connection that is accepted while the server is being closed is also closed.
func TestClosedServerRejectsConnections(t *testing.T) {
	ours, theirs := net.Pipe()
	server := NewServer(func(msg.Input) {}, slowHandler{}, func() Status { return Status{} })
	server.Close()
	if server.track(ours) {
		t.Error("connection tracked by a closed server")
	}
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from the connection: %v, want %v", err, io.EOF)
	}
	server.Wait()
}
