package peer

import (
	"net"
	"net/rpc"
	"sync"

	"coralhub/internal/core/msg"
)

// Server serves a node's peers.
type Server struct {
	rpc     *rpc.Server
	serving sync.WaitGroup // one for each connection, until its last call has ended

	mu       sync.Mutex
	isClosed bool
	open     map[net.Conn]struct{}
}

// NewServer returns a server that posts what needs no answer and has the handler answer the rest. status is what
// this node reports to its peers.
func NewServer(post func(msg.Input), handler Handler, status func() Status) *Server {
	s := &Server{rpc: rpc.NewServer(), open: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, &Service{post, handler, status}); err != nil {
		panic(err) // the methods of Service are not those of net/rpc
	}
	return s
}

// Serve serves peers on l until accepting a connection fails.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.track(conn) {
			continue
		}
		s.serving.Go(func() {
			defer s.untrack(conn)
			s.rpc.ServeConn(conn) // it closes the connection
		})
	}
}

// track notes an open connection. Once the server is closed, it closes the connection instead and returns false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = conn.Close() // nothing was sent
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// Close closes all connections, and later ones at once. The listener is the caller's to close.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.open {
		_ = conn.Close() // the only error is that it was closed before
	}
}

// Wait returns once all calls of peers have ended. It is for after Close and the end of Serve.
func (s *Server) Wait() { s.serving.Wait() }
