// Package faults disturbs the connections between parties: a proxy stands between
// each two, and is told to hold, drop, reset, refuse or delay what passes.
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with connections.
type Mode string

// The modes. Held data is delivered late, in order, even if its sender has given up
// meanwhile; dropped data never is, and its connection is reset in the end.
const (
	Pass   Mode = "pass"
	Hold   Mode = "hold"
	Drop   Mode = "drop"
	Reset  Mode = "reset"
	Refuse Mode = "refuse"
)

// Direction is the direction that a fault is for.
type Direction string

// The ways: both, from who connects, and back to it.
const (
	Both     Direction = ""
	Forward  Direction = "forward"
	Backward Direction = "back"
)

// dialTimeout is how long the target may take to accept.
const dialTimeout = 2 * time.Second

// acceptPause is how long a proxy waits after a connection that it could not accept.
const acceptPause = 50 * time.Millisecond

// Proxy passes connections on to a target.
type Proxy struct {
	name, target, addr string

	mu        sync.Mutex
	listener  net.Listener
	mode      Mode
	direction Direction
	delay     time.Duration
	change    chan struct{} // closed when something above changes
	conns     map[*pair]bool
	closed    bool
	failed    func(error) // hears why connections were not made; nil: nobody does
	wg        sync.WaitGroup
}

// pair is a connection and the one that it is passed on by.
type pair struct {
	in, out net.Conn
	began   Mode // what the proxy did when it came
	lost    bool // something of it was dropped
}

// New starts a proxy for a target on a loopback port of its own.
func New(name, target string) (*Proxy, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	p := &Proxy{name: name, target: target, addr: l.Addr().String(), listener: l, mode: Pass, change: make(chan struct{}), conns: map[*pair]bool{}}
	p.wg.Add(1)
	go p.accept(l)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.addr }

// Name names the link that the proxy stands for.
func (p *Proxy) Name() string { return p.name }

// Set changes what is done from now on. Back to Pass, held data is delivered and
// connections of which something was dropped are reset.
func (p *Proxy) Set(mode Mode, way Direction) error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return net.ErrClosed
	}
	p.mode, p.direction = mode, way
	close(p.change)
	p.change = make(chan struct{})
	var end []*pair
	for c := range p.conns {
		if mode == Reset || mode == Refuse || mode == Pass && (c.lost || c.began != Pass) {
			end = append(end, c)
		}
	}
	listening := p.listener
	if mode == Refuse {
		p.listener = nil
	}
	p.mu.Unlock()
	for _, c := range end {
		c.reset()
	}
	switch {
	case mode == Refuse && listening != nil:
		return listening.Close()
	case mode != Refuse && listening == nil:
		return p.listen()
	}
	return nil
}

// OnFailure has f hear why a connection could not be accepted, or not passed on. f is called by
// several goroutines.
func (p *Proxy) OnFailure(f func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = f
}

func (p *Proxy) tellFailure(err error) {
	p.mu.Lock()
	failed := p.failed
	p.mu.Unlock()
	if failed != nil {
		failed(err)
	}
}

// Delay has everything take so much longer, each way.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *Proxy) listen() error {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return l.Close()
	}
	p.listener = l
	p.wg.Add(1)
	go p.accept(l)
	return nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	close(p.change)
	p.change = make(chan struct{})
	all := make([]*pair, 0, len(p.conns))
	for c := range p.conns {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
	p.wg.Wait()
}

func (p *Proxy) accept(l net.Listener) {
	defer p.wg.Done()
	for {
		in, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // this process can open no more files, most likely: the next connection may find one
			p.tellFailure(err)
			time.Sleep(acceptPause)
			continue
		}
		p.wg.Add(1)
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	defer p.wg.Done()
	p.mu.Lock()
	mode, closed := p.mode, p.closed
	p.mu.Unlock()
	c := &pair{in: in, began: mode}
	if mode == Reset || closed {
		c.reset()
		return
	}
	out, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		p.tellFailure(err)
		c.reset()
		return
	}
	c.out = out
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, in, out, Forward) })
	both.Go(func() { p.pump(c, out, in, Backward) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// pump passes one way on, until it ends. Data that was read before its sender gave up
// is still delivered once the proxy lets it.
func (p *Proxy) pump(c *pair, from, to net.Conn, way Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.gate(c, way) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !p.gate(c, way) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// gate waits until data of a connection may pass; false: it never may.
func (p *Proxy) gate(c *pair, way Direction) bool {
	for {
		p.mu.Lock()
		mode, change, delay, closed := p.mode, p.change, p.delay, p.closed
		mine := p.direction == Both || p.direction == way
		if mine && mode == Drop {
			c.lost = true
		}
		lost := c.lost
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mine && (mode == Hold || mode == Drop):
			<-change
		case lost:
			c.reset()
			return false
		default:
			if delay > 0 {
				time.Sleep(delay)
			}
			return true
		}
	}
}

func (c *pair) reset() {
	for _, x := range []net.Conn{c.in, c.out} {
		if t, ok := x.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if x != nil {
			_ = x.Close()
		}
	}
}
