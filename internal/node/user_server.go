package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// userServer is an HTTP server that can wait for the end of its connections, even after Close.
type userServer struct {
	http.Server
	connections sync.WaitGroup
}

func newUserServer(handler http.Handler) *userServer {
	s := &userServer{Server: http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
	}}
	s.ConnState = s.countConnections
	return s
}

// countConnections counts the connections that have a goroutine. net/http calls it for a new connection before
// Serve accepts the next one, and for a closed connection after its last request has been handled.
func (s *userServer) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Done()
	}
}

// Wait waits until all requests have been handled. It may be called only after Close and the end of Serve.
func (s *userServer) Wait() { s.connections.Wait() }
