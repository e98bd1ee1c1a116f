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

// echo answers each line with the same line.
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
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

type client struct {
	net.Conn
	r *bufio.Reader
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

// says sends a line and tells whether it comes back in time.
func (c client) says(line string, wait time.Duration) bool {
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return false
	}
	return c.hears(line, wait)
}

func (c client) hears(line string, wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got, err := c.r.ReadString('\n')
	return err == nil && got == line+"\n"
}

const (
	patience = 20 * time.Second
	moment   = 50 * time.Millisecond // for what must not come
)

func start(t *testing.T) *Proxy {
	t.Helper()
	p, err := New("link", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func (p *Proxy) must(t *testing.T, mode Mode, way Direction) {
	t.Helper()
	if err := p.Set(mode, way); err != nil {
		t.Fatal(err)
	}
}

func TestHoldDeliversLate(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	if !c.says("one", patience) {
		t.Fatal("nothing passes")
	}
	p.must(t, Hold, Both)
	if c.says("two", moment) {
		t.Fatal("held data was delivered")
	}
	p.must(t, Pass, Both)
	if !c.hears("two", patience) {
		t.Fatal("held data never came")
	}
}

func TestDropResetsInTheEnd(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.says("one", patience)
	p.must(t, Drop, Both)
	if c.says("two", moment) {
		t.Fatal("dropped data was delivered")
	}
	p.must(t, Pass, Both)
	if c.hears("two", patience) {
		t.Fatal("dropped data was delivered late")
	}
	if !dial(t, p).says("three", patience) {
		t.Fatal("nothing passes afterwards")
	}
}

func TestOneWay(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.says("zero", patience) // it is passed on by now
	p.must(t, Hold, Backward)
	if c.says("one", moment) {
		t.Fatal("an answer came back")
	}
	p.must(t, Pass, Both)
	if !c.hears("one", patience) {
		t.Fatal("the request had not gone through")
	}
}

func TestResetAndRefuse(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.says("one", patience)
	p.must(t, Reset, Both)
	if c.says("two", patience) {
		t.Fatal("a connection was kept")
	}
	p.must(t, Refuse, Both)
	if x, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr()); err == nil {
		_ = x.Close()
		t.Fatal("a connection was accepted")
	}
	p.must(t, Pass, Both)
	if !dial(t, p).says("three", patience) {
		t.Fatal("nothing passes afterwards")
	}
}

// poorListener fails as one does whose process has no more files to open, the first time.
type poorListener struct {
	net.Listener
	failed bool
}

func (l *poorListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A proxy that could not accept a connection says why and accepts the next.
func TestAcceptsAfterFailure(t *testing.T) {
	target, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	p, err := New("poor", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	heard := make(chan error, 10)
	p.OnFailure(func(err error) { heard <- err })
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.wg.Add(1)
	go p.accept(&poorListener{Listener: l})
	if err := <-heard; !errors.Is(err, syscall.EMFILE) {
		t.Errorf("heard %v", err)
	}
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	passed, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = passed.Close()
	_ = l.Close()
}
