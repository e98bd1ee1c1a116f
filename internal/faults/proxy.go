// Package faults injects faults into network connections: a proxy on each link can hold, drop or delay
// data, and reset or refuse connections.
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"coralhub/internal/wait"
)

// Mode is how a proxy handles connections and their data.
type Mode string

// The modes. Held data is delivered late and in order, even if its sender has closed the connection
// meanwhile. Dropped data is never delivered, and its connection is reset when the proxy returns to Pass.
const (
	Pass   Mode = "pass"
	Hold   Mode = "hold"
	Drop   Mode = "drop"
	Reset  Mode = "reset"
	Refuse Mode = "refuse"
)

// Direction is the direction of the data that Hold and Drop apply to.
type Direction string

// The directions: both, from the client to the target, and from the target to the client.
const (
	Both     Direction = ""
	Forward  Direction = "forward"
	Backward Direction = "back"
)

const (
	// dialTimeout is how long the target may take to accept a connection.
	dialTimeout = 2 * time.Second
	// acceptRetryDelay is how long a proxy waits after it failed to accept a connection.
	acceptRetryDelay = 50 * time.Millisecond
	// copyBufferBytes is the maximum size of a read.
	copyBufferBytes = 32 << 10
	// anyPort is a listen address with a port chosen by the system.
	anyPort = "127.0.0.1:0"
)

// Proxy forwards connections to a target.
type Proxy struct {
	name, target, addr string
	ctx                context.Context // ends when the proxy is closed
	stop               context.CancelFunc

	mu         sync.Mutex
	listener   net.Listener // nil while connections are refused
	mode       Mode
	direction  Direction
	delay      time.Duration
	change     chan struct{} // closed and replaced when the mode changes or the proxy is closed
	conns      map[*forwardedConn]bool
	onFailure  func(error) // may be nil
	goroutines sync.WaitGroup
}

// forwardedConn is a connection from a client, and the connection to the target that it is forwarded to.
type forwardedConn struct {
	client, target net.Conn
	acceptedIn     Mode // mode of the proxy when it was accepted
	dropped        bool // whether some of its data was dropped
}

// New starts a proxy for a target, on a loopback port chosen by the system. The caller must close the proxy.
func New(name, target string) (*Proxy, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{
		ctx:      ctx,
		stop:     stop,
		name:     name,
		target:   target,
		addr:     l.Addr().String(),
		listener: l,
		mode:     Pass,
		change:   make(chan struct{}),
		conns:    map[*forwardedConn]bool{},
	}
	p.goroutines.Go(func() { p.accept(l) })
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// Name returns the name of the proxy's link.
func (p *Proxy) Name() string { return p.name }

// Set changes the mode, and the direction of the data that Hold and Drop apply to. A change to Pass delivers
// held data, and resets connections of which data was dropped or that were accepted in another mode. Set
// returns net.ErrClosed if the proxy is closed. If it can't listen again after Refuse because the port has
// been taken, the error wraps syscall.EADDRINUSE.
func (p *Proxy) Set(mode Mode, direction Direction) error {
	p.mu.Lock()
	if p.closed() {
		p.mu.Unlock()
		return net.ErrClosed
	}
	p.mode = mode
	p.direction = direction
	p.signalChange()
	var resetting []*forwardedConn
	for c := range p.conns {
		if c.resetsIn(mode) {
			resetting = append(resetting, c)
		}
	}
	listener := p.listener
	if mode == Refuse {
		p.listener = nil
	}
	p.mu.Unlock()
	for _, c := range resetting {
		c.reset()
	}
	switch {
	case mode == Refuse && listener != nil:
		return listener.Close()
	case mode != Refuse && listener == nil:
		return p.listen()
	}
	return nil
}

// signalChange wakes all goroutines that wait for a change. p.mu must be held.
func (p *Proxy) signalChange() {
	close(p.change)
	p.change = make(chan struct{})
}

// resetsIn reports whether the connection is reset when the proxy changes to a mode.
func (c *forwardedConn) resetsIn(mode Mode) bool {
	switch mode {
	case Reset, Refuse:
		return true
	case Pass:
		return c.dropped || c.acceptedIn != Pass
	}
	return false
}

// OnFailure sets a function, which may be nil, that is called with the error of each connection that could
// not be accepted or forwarded. It is called from several goroutines.
func (p *Proxy) OnFailure(f func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onFailure = f
}

func (p *Proxy) reportFailure(err error) {
	p.mu.Lock()
	onFailure := p.onFailure
	p.mu.Unlock()
	if onFailure != nil {
		onFailure(err)
	}
}

// SetDelay sets the delay of all data, in each direction.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// listen listens again on the proxy's address.
func (p *Proxy) listen() error {
	l, err := new(net.ListenConfig).Listen(p.ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed() {
		return l.Close()
	}
	p.listener = l
	p.goroutines.Go(func() { p.accept(l) })
	return nil
}

// closed reports whether the proxy is closed. The proxy can't be closed while p.mu is held.
func (p *Proxy) closed() bool { return p.ctx.Err() != nil }

// Close closes the proxy, resets its connections, and waits until all its goroutines have ended. An error
// in closing the listener is passed to the function set by OnFailure.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.stop()
	listener := p.listener
	p.listener = nil
	p.signalChange()
	conns := make([]*forwardedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	if listener != nil {
		if err := listener.Close(); err != nil {
			p.reportFailure(err)
		}
	}
	for _, c := range conns {
		c.reset()
	}
	p.goroutines.Wait()
}

// accept accepts and serves the connections of a listener until the listener is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely this process has reached its limit of open files: a later accept may succeed
			p.reportFailure(err)
			wait.For(p.ctx, acceptRetryDelay)
			continue
		}
		p.goroutines.Go(func() { p.serve(conn) })
	}
}

// serve forwards a connection until it is closed.
func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	mode, closed := p.mode, p.closed()
	p.mu.Unlock()
	c := &forwardedConn{client: client, acceptedIn: mode}
	if mode == Reset || closed {
		c.reset()
		return
	}
	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		if !p.closed() {
			p.reportFailure(err)
		}
		c.reset()
		return
	}
	c.target = target
	if !p.register(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyData(c, client, target, Forward) })
	both.Go(func() { p.copyData(c, target, client, Backward) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	// Close what copyData and reset have left open. Closing a connection a second time has no effect.
	_ = client.Close()
	_ = target.Close()
}

// register adds a connection to those of the proxy; it returns false if the proxy is closed.
func (p *Proxy) register(c *forwardedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed() {
		return false
	}
	p.conns[c] = true
	return true
}

// copyData forwards the data of one direction until that direction is closed. Data that was read before its
// sender closed the connection is still delivered once the proxy lets it pass.
func (p *Proxy) copyData(c *forwardedConn, from, to net.Conn, direction Direction) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buf)
		if n > 0 {
			if !p.awaitPass(c, direction) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			if p.awaitPass(c, direction) {
				propagateEnd(to, readErr)
			}
			return
		}
	}
}

// propagateEnd closes the connection to the receiver after a read from the sender failed. At io.EOF it
// closes only this direction, because the sender may have closed only this one.
func propagateEnd(to net.Conn, readErr error) {
	if t, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = to.Close()
}

// awaitPass waits until data of a connection may pass. It returns false if the data is never to be
// delivered.
func (p *Proxy) awaitPass(c *forwardedConn, direction Direction) bool {
	for {
		p.mu.Lock()
		mode, change, delay, closed := p.mode, p.change, p.delay, p.closed()
		affected := p.direction == Both || p.direction == direction
		if affected && mode == Drop {
			c.dropped = true
		}
		dropped := c.dropped
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case affected && (mode == Hold || mode == Drop):
			<-change
		case dropped:
			c.reset()
			return false
		default:
			return delay <= 0 || wait.For(p.ctx, delay)
		}
	}
}

// reset closes both connections immediately, with a TCP reset.
func (c *forwardedConn) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if conn != nil {
			_ = conn.Close()
		}
	}
}
