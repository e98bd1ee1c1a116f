package faults

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"coralhub/internal/leaktest"
)

// Close waits for all that a proxy has started, and doesn't wait for held or delayed data first.
func TestCloseLeavesNothingRunning(t *testing.T) {
	for name, disturb := range map[string]func(*Proxy){
		"passing": func(*Proxy) {},
		"holding": func(p *Proxy) { p.mustSet(t, Hold, Both) },
		"delayed": func(p *Proxy) { p.Delay(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t)
			c := dial(t, p)
			if !c.echoes("one", timeout) {
				t.Fatal("nothing passes")
			}
			disturb(p)
			c.echoes("two", shortTimeout)
			closedAt := time.Now()
			p.Close()
			leaktest.Check(t, "faults.(*Proxy)")
			if took := time.Since(closedAt); took > time.Second {
				t.Errorf("Close took %v", took)
			}
		})
	}
}

// fullListener returns the address of a listener that can accept no more connections: dialing it ends
// by a timeout alone.
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
	const mostQueued = 10
	dialer := net.Dialer{Timeout: 2 * shortTimeout}
	for range mostQueued {
		c, err := dialer.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener accepts connections without end")
	return ""
}

// Close doesn't wait for a target that accepts no connection.
func TestCloseEndsDialing(t *testing.T) {
	p, err := New("link", fullListener(t))
	if err != nil {
		t.Fatal(err)
	}
	dial(t, p)
	time.Sleep(shortTimeout) // the target is being dialed by now
	closedAt := time.Now()
	p.Close()
	leaktest.Check(t, "faults.(*Proxy)")
	if took := time.Since(closedAt); took > time.Second {
		t.Errorf("Close took %v", took)
	}
}
