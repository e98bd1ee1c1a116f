// Package faults injects faults into the connections between parties: a proxy on each link can hold,
// drop, reset, refuse or delay what passes.
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

// Mode is what a proxy does with connections.
type Mode string

// The modes. Held data is delivered late and in order, even if its sender has given up meanwhile.
// Dropped data never is, and its connection is reset when the proxy passes data again.
const (
	Pass   Mode = "pass"
	Hold   Mode = "hold"
	Drop   Mode = "drop"
	Reset  Mode = "reset"
	Refuse Mode = "refuse"
)

// Direction is the direction of the data that Hold and Drop apply to.
type Direction string

// The directions: both, from the client to the target, and back to the client.
const (
	Both     Direction = ""
	Forward  Direction = "forward"
	Backward Direction = "back"
)

const (
	// dialTimeout is how long the target may take to accept a connection.
	dialTimeout = 2 * time.Second
	// acceptPause is how long a proxy waits after a failure to accept a connection.
	acceptPause = 50 * time.Millisecond
	// bufferBytes is the most data that is read at a time.
	bufferBytes = 32 << 10
	// anyPort is an address on which a proxy gets a port of its own.
	anyPort = "127.0.0.1:0"
)

// Proxy forwards connections to a target.
type Proxy struct {
	name, target, addr string
	ctx                context.Context // ends when the proxy is closed
	stop               context.CancelFunc

	mu        sync.Mutex
	listener  net.Listener // nil while connections are refused
	mode      Mode
	direction Direction
	delay     time.Duration
	change    chan struct{} // is closed, and replaced, when the mode changes or the proxy is closed
	conns     map[*forwarded]bool
	onFailure func(error) // may be nil
	running   sync.WaitGroup
}

// forwarded is a connection of a client and the one to the target that it is forwarded on.
type forwarded struct {
	client, target net.Conn
	acceptedIn     Mode // the mode of the proxy when it came
	dropped        bool // whether some of its data was dropped
}

// New starts a proxy for a target on a loopback port of its own.
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
		conns:    map[*forwarded]bool{},
	}
	p.running.Go(func() { p.accept(l) })
	return p, nil
}

// Addr is the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// Name is the name of the link that the proxy stands for.
func (p *Proxy) Name() string { return p.name }

// Set changes the mode, and the direction of the data that it applies to. Back in Pass, held data is
// delivered, and connections of which data was dropped or that came in another mode are reset. It
// returns net.ErrClosed if the proxy is closed; the error of a port that is taken meanwhile wraps
// syscall.EADDRINUSE.
func (p *Proxy) Set(mode Mode, direction Direction) error {
	p.mu.Lock()
	if p.closed() {
		p.mu.Unlock()
		return net.ErrClosed
	}
	p.mode = mode
	p.direction = direction
	p.signalChange()
	var ending []*forwarded
	for c := range p.conns {
		if c.endsIn(mode) {
			ending = append(ending, c)
		}
	}
	listener := p.listener
	if mode == Refuse {
		p.listener = nil
	}
	p.mu.Unlock()
	for _, c := range ending {
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

// signalChange wakes whatever waits for a change. p.mu is held.
func (p *Proxy) signalChange() {
	close(p.change)
	p.change = make(chan struct{})
}

// endsIn reports whether the connection is reset when the proxy changes to a mode.
func (c *forwarded) endsIn(mode Mode) bool {
	switch mode {
	case Reset, Refuse:
		return true
	case Pass:
		return c.dropped || c.acceptedIn != Pass
	}
	return false
}

// OnFailure sets a function, which may be nil, that is called with the reason why a connection could
// not be accepted or forwarded. It is called by several goroutines.
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

// Delay delays all data by so much, in each direction.
func (p *Proxy) Delay(d time.Duration) {
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
	p.running.Go(func() { p.accept(l) })
	return nil
}

// closed reports whether the proxy is closed. It doesn't become so while p.mu is held.
func (p *Proxy) closed() bool { return p.ctx.Err() != nil }

// Close ends the proxy and its connections, and waits until all its goroutines have ended. An error of
// closing its port is reported as a failure.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.stop()
	listener := p.listener
	p.listener = nil
	p.signalChange()
	conns := make([]*forwarded, 0, len(p.conns))
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
	p.running.Wait()
}

// accept serves the connections of a listener until it is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely this process can open no more files: a later connection may succeed
			p.reportFailure(err)
			wait.For(p.ctx, acceptPause)
			continue
		}
		p.running.Go(func() { p.serve(conn) })
	}
}

// serve forwards a connection until it ends.
func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	mode, closed := p.mode, p.closed()
	p.mu.Unlock()
	c := &forwarded{client: client, acceptedIn: mode}
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
	both.Go(func() { p.pump(c, client, target, Forward) })
	both.Go(func() { p.pump(c, target, client, Backward) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	// Whatever a pump or reset has left open; what they have closed, they have closed for good.
	_ = client.Close()
	_ = target.Close()
}

// register adds a connection to those of the proxy; it returns false if the proxy is closed.
func (p *Proxy) register(c *forwarded) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed() {
		return false
	}
	p.conns[c] = true
	return true
}

// pump forwards the data of one direction until it ends. Data that was read before its sender gave up
// is still delivered once the proxy lets it pass.
func (p *Proxy) pump(c *forwarded, from, to net.Conn, direction Direction) {
	buf := make([]byte, bufferBytes)
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
				forwardEnd(to, readErr)
			}
			return
		}
	}
}

// forwardEnd ends one direction of a connection as its sender did, with an error of reading: the
// other direction stays open if the sender closed this one alone.
func forwardEnd(to net.Conn, readErr error) {
	if t, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = to.Close()
}

// awaitPass waits until data of a connection may pass; it returns false if it never may.
func (p *Proxy) awaitPass(c *forwarded, direction Direction) bool {
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

// reset closes both connections at once, with a TCP reset.
func (c *forwarded) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if conn != nil {
			_ = conn.Close()
		}
	}
}
