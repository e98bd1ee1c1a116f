package faults

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"coralhub/internal/leaktest"
)

// Close waits until all goroutines of a proxy have ended, and doesn't wait for held or delayed data first.
func TestCloseStopsGoroutines(t *testing.T) {
	for name, configure := range map[string]func(*Proxy){
		"passing": func(*Proxy) {},
		"holding": func(p *Proxy) { p.mustSet(t, Hold, Both) },
		"delayed": func(p *Proxy) { p.SetDelay(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t)
			c := dial(t, p)
			if !c.echoes("one", timeout) {
				t.Fatal("no data passes in Pass")
			}
			configure(p)
			c.echoes("two", shortTimeout)
			closedAt := time.Now()
			p.Close()
			leaktest.Check(t, "faults.(*Proxy)")
			if took := time.Since(closedAt); took > time.Second {
				t.Errorf("Close took %v, want at most 1s", took)
			}
		})
	}
}

// fullListener returns the address of a listener whose queue of connections is full: dialing it ends only by
// a timeout.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	const maxQueued = 10
	dialer := net.Dialer{Timeout: 2 * shortTimeout}
	for range maxQueued {
		c, err := dialer.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatalf("the listener's queue is not full after %d connections", maxQueued)
	return ""
}

// Close cancels the dialing of a target that doesn't accept the connection.
func TestCloseCancelsDial(t *testing.T) {
	p, err := New("link", fullListener(t))
	if err != nil {
		t.Fatal(err)
	}
	dial(t, p)
	time.Sleep(shortTimeout) // until the proxy is dialing the target
	closedAt := time.Now()
	p.Close()
	leaktest.Check(t, "faults.(*Proxy)")
	if took := time.Since(closedAt); took > time.Second {
		t.Errorf("Close took %v, want at most 1s", took)
	}
}
