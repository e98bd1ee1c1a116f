package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// userServer is an HTTP server whose connections can be waited for, also after Close.
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

// countConnections keeps count of the connections that have a goroutine. net/http calls it for a new one before
// Serve goes on, and for one that is closed when its last request has been handled.
func (s *userServer) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Done()
	}
}

// Wait returns once all requests have been handled. It is for after Close and the end of Serve.
func (s *userServer) Wait() { s.connections.Wait() }
