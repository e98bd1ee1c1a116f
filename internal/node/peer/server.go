package peer

import (
	"net"
	"net/rpc"
	"sync"

	"coralhub/internal/core/msg"
)

// Server answers the calls of a node's peers.
type Server struct {
	rpc     *rpc.Server
	serving sync.WaitGroup // one for each connection, until its last call has ended

	mu       sync.Mutex
	isClosed bool
	open     map[net.Conn]struct{}
}

// NewServer returns a server that posts messages without a response to the core and passes the others to handler.
// status returns the status that this node reports to its peers.
func NewServer(post func(msg.Input), handler Handler, status func() Status) *Server {
	s := &Server{rpc: rpc.NewServer(), open: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, &Service{post, handler, status}); err != nil {
		panic(err) // the methods of Service don't have the signatures that net/rpc requires
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
			s.rpc.ServeConn(conn) // closes the connection at the end
		})
	}
}

// track registers an open connection. If the server is closed, it closes the connection instead and returns false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = conn.Close() // ignores the error: nothing was sent
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

// Close closes all connections. Those accepted later are closed at once. The caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.open {
		_ = conn.Close() // the only error is that it was closed before
	}
}

// Wait waits until all calls of peers have ended. It may be called only after Close and the end of Serve.
func (s *Server) Wait() { s.serving.Wait() }
