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

// startEchoServer starts a server that returns all data that it receives, and returns its address.
func startEchoServer(t *testing.T) string {
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

// echoes sends a line and reports whether the same line is received within the time wait.
func (c client) echoes(line string, wait time.Duration) bool {
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return false
	}
	return c.receives(line, wait)
}

// receives reports whether a line is received within the time wait.
func (c client) receives(line string, wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got, err := c.reader.ReadString('\n')
	return err == nil && got == line+"\n"
}

const (
	timeout      = 20 * time.Second      // for data that must arrive
	shortTimeout = 50 * time.Millisecond // for data that must not arrive
)

// startProxy starts a proxy for an echo server, which is closed at the end of the test.
func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := New("link", startEchoServer(t))
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

// Held data is delivered when the proxy returns to Pass.
func TestHoldDelaysDelivery(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if !c.echoes("one", timeout) {
		t.Fatal("no data passes in Pass")
	}
	p.mustSet(t, Hold, Both)
	if c.echoes("two", shortTimeout) {
		t.Fatal("held data was delivered")
	}
	p.mustSet(t, Pass, Both)
	if !c.receives("two", timeout) {
		t.Fatal("held data was not delivered in Pass")
	}
}

// Dropped data is never delivered, and its connection is reset when the proxy returns to Pass.
func TestDropResetsConnection(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	c.echoes("one", timeout)
	p.mustSet(t, Drop, Both)
	if c.echoes("two", shortTimeout) {
		t.Fatal("dropped data was delivered")
	}
	p.mustSet(t, Pass, Both)
	if c.receives("two", timeout) {
		t.Fatal("dropped data was delivered after the return to Pass")
	}
	if !dial(t, p).echoes("three", timeout) {
		t.Fatal("no data passes after the return to Pass")
	}
}

// With Backward, data to the client is held while data to the target passes.
func TestHoldOneDirection(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	c.echoes("zero", timeout) // afterwards the connection is forwarded
	p.mustSet(t, Hold, Backward)
	if c.echoes("one", shortTimeout) {
		t.Fatal("data to the client was delivered in Hold")
	}
	p.mustSet(t, Pass, Both)
	if !c.receives("one", timeout) {
		t.Fatal("data to the target was not delivered in Hold")
	}
}

// Connections are reset in Reset, refused in Refuse, and accepted again in Pass.
func TestResetAndRefuse(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	c.echoes("one", timeout)
	p.mustSet(t, Reset, Both)
	if c.echoes("two", timeout) {
		t.Fatal("a connection was not reset in Reset")
	}
	p.mustSet(t, Refuse, Both)
	if x, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr()); err == nil {
		_ = x.Close()
		t.Fatal("a connection was accepted in Refuse")
	}
	p.mustSet(t, Pass, Both)
	if !dial(t, p).echoes("three", timeout) {
		t.Fatal("no data passes after the return to Pass")
	}
}

// fileLimitListener fails once to accept a connection, as in a process at its limit of open files.
type fileLimitListener struct {
	net.Listener
	failed bool
}

func (l *fileLimitListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A proxy that failed to accept a connection reports the error and accepts the next connection.
func TestAcceptContinuesAfterFailure(t *testing.T) {
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
	p.goroutines.Go(func() { p.accept(&fileLimitListener{Listener: l}) })
	if err := <-failures; !errors.Is(err, syscall.EMFILE) {
		t.Errorf("reported error: got %v, want %v", err, syscall.EMFILE)
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
