package leaktest

import (
	"fmt"
	"strings"
	"testing"
)

// recorder is a testing.TB that records failures instead of failing.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func blockedUntil(end chan struct{}, ended chan<- struct{}) {
	end <- struct{}{}
	<-end
	ended <- struct{}{}
}

// Check reports a running goroutine once, and only by the name of a function that it executes.
func TestCheck(t *testing.T) {
	const name = "leaktest.blockedUntil"
	end, ended := make(chan struct{}), make(chan struct{})
	go blockedUntil(end, ended)
	<-end
	running := &recorder{TB: t}
	Check(running, "leaktest.noSuchFunction", name)
	if len(running.failures) != 1 || !strings.Contains(running.failures[0], name) {
		t.Errorf("failures with a running goroutine: %q, want one that contains %q", running.failures, name)
	}
	end <- struct{}{}
	<-ended
}

// The function that started a goroutine does not count as one that the goroutine executes.
func TestStarterIsNoCall(t *testing.T) {
	goroutine := "goroutine 7 [select]:\nnet.read(0x1)\n\t/src/net.go:5\ncreated by pkg.(*T).start in goroutine 1\n\t/src/pkg.go:9"
	if executes(goroutine, "pkg.(*T)") {
		t.Error("the function that started the goroutine counts as a call")
	}
	if !executes(goroutine, "net.read") {
		t.Error("the call of net.read was not found")
	}
}
