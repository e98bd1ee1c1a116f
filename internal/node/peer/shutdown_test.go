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

// Calls to a peer that does not answer end with their context.
func TestCallsEndWithTheirContext(t *testing.T) {
	server := nodetest.NewSilentServer(t)
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
	if _, err := p.connect(t.Context(), connectionKey{node: "n2"}); err == nil {
		t.Error("connected")
	}
	if len(p.connections) > 0 {
		t.Errorf("%d connections", len(p.connections))
	}
}

// slowHandler answers once it is told to.
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

// A closed server cuts its peers off at once, and waits for what they have called.
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
		t.Errorf("posted %+v", done)
	}
	accepting.Wait()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Wait()
	}()
	select {
	case <-ended:
		t.Error("did not wait for a call")
	case <-time.After(20 * time.Millisecond):
	}
	close(handler.answer)
	<-ended
	p.Close()
	p.Wait()
}

// A connection that is accepted while the server is being closed is closed too.
func TestClosedServerTakesNoConnections(t *testing.T) {
	ours, theirs := net.Pipe()
	server := NewServer(func(msg.Input) {}, slowHandler{}, func() Status { return Status{} })
	server.Close()
	if server.track(ours) {
		t.Error("taken")
	}
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("not closed: %v", err)
	}
	server.Wait()
}
