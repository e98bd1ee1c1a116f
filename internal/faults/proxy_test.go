package faults

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// client is a connection through a proxy to an echo server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, p *Proxy) client {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return client{c, bufio.NewReader(c)}
}

// echoes sends a line and reports whether it comes back in time.
func (c client) echoes(line string, wait time.Duration) bool {
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return false
	}
	return c.receives(line, wait)
}

// receives reports whether a line comes in time.
func (c client) receives(line string, wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got, err := c.reader.ReadString('\n')
	return err == nil && got == line+"\n"
}

const (
	timeout      = 20 * time.Second      // for what must come
	shortTimeout = 50 * time.Millisecond // for what must not come
)

// start starts a proxy for an echo server.
func start(t *testing.T) *Proxy {
	t.Helper()
	p, err := New("link", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func (p *Proxy) mustSet(t *testing.T, mode Mode, direction Direction) {
	t.Helper()
	if err := p.Set(mode, direction); err != nil {
		t.Fatal(err)
	}
}

// Held data is delivered when the proxy passes data again.
func TestHoldDeliversLate(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	if !c.echoes("one", timeout) {
		t.Fatal("nothing passes")
	}
	p.mustSet(t, Hold, Both)
	if c.echoes("two", shortTimeout) {
		t.Fatal("held data was delivered")
	}
	p.mustSet(t, Pass, Both)
	if !c.receives("two", timeout) {
		t.Fatal("held data never came")
	}
}

// Dropped data is never delivered, and its connection is reset when the proxy passes data again.
func TestDropResetsInTheEnd(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.echoes("one", timeout)
	p.mustSet(t, Drop, Both)
	if c.echoes("two", shortTimeout) {
		t.Fatal("dropped data was delivered")
	}
	p.mustSet(t, Pass, Both)
	if c.receives("two", timeout) {
		t.Fatal("dropped data was delivered late")
	}
	if !dial(t, p).echoes("three", timeout) {
		t.Fatal("nothing passes afterwards")
	}
}

// Data back to the client is held while that to the target passes.
func TestHoldOneDirection(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.echoes("zero", timeout) // the connection is forwarded by now
	p.mustSet(t, Hold, Backward)
	if c.echoes("one", shortTimeout) {
		t.Fatal("an answer came back")
	}
	p.mustSet(t, Pass, Both)
	if !c.receives("one", timeout) {
		t.Fatal("the request had not gone through")
	}
}

// Connections are reset and then refused, and pass again afterwards.
func TestResetAndRefuse(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.echoes("one", timeout)
	p.mustSet(t, Reset, Both)
	if c.echoes("two", timeout) {
		t.Fatal("a connection was kept")
	}
	p.mustSet(t, Refuse, Both)
	if x, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr()); err == nil {
		_ = x.Close()
		t.Fatal("a connection was accepted")
	}
	p.mustSet(t, Pass, Both)
	if !dial(t, p).echoes("three", timeout) {
		t.Fatal("nothing passes afterwards")
	}
}

// outOfFilesListener fails the first time, as in a process that can open no more files.
type outOfFilesListener struct {
	net.Listener
	failed bool
}

func (l *outOfFilesListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A proxy that could not accept a connection reports why and accepts the next one.
func TestAcceptsAfterFailure(t *testing.T) {
	target, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	p, err := New("link", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	failures := make(chan error, 10)
	p.OnFailure(func(err error) { failures <- err })
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.running.Go(func() { p.accept(&outOfFilesListener{Listener: l}) })
	if err := <-failures; !errors.Is(err, syscall.EMFILE) {
		t.Errorf("reported %v", err)
	}
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	forwarded, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = forwarded.Close()
	_ = l.Close()
}
