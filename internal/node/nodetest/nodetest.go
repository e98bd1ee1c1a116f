// Package nodetest provides helpers for tests of a node and its adapters.
package nodetest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// connectTimeout is how long a test waits for a connection, which takes milliseconds unless the test fails.
const connectTimeout = 10 * time.Second

// UnresponsiveServer accepts connections and never replies.
type UnresponsiveServer struct {
	Address string

	t        *testing.T
	accepted chan struct{} // one for each connection
}

// NewUnresponsiveServer starts a server that listens until the end of the test.
func NewUnresponsiveServer(t *testing.T) *UnresponsiveServer {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &UnresponsiveServer{Address: l.Addr().String(), t: t, accepted: make(chan struct{}, 100)}
	var accepting sync.WaitGroup
	accepting.Go(func() { s.accept(l) })
	t.Cleanup(func() {
		_ = l.Close()
		accepting.Wait()
	})
	return s
}

func (s *UnresponsiveServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // when the listener is closed, at the end of the test
		s.accepted <- struct{}{}
	}
}

// AwaitConnections waits until count more clients have connected, and fails the test if that takes too long.
func (s *UnresponsiveServer) AwaitConnections(count int) {
	s.t.Helper()
	timeout := time.After(connectTimeout)
	for i := range count {
		select {
		case <-s.accepted:
		case <-timeout:
			s.t.Fatalf("%d connections accepted, want %d", i, count)
		}
	}
}

// AssertReturnsWithin fails the test unless end returns within limit.
func AssertReturnsWithin(t *testing.T, limit time.Duration, end func()) {
	t.Helper()
	began := time.Now()
	end()
	if took := time.Since(began); took > limit {
		t.Errorf("returned after %v, want at most %v", took, limit)
	}
}
