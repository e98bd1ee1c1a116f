package leaktest

import (
	"fmt"
	"strings"
	"testing"
)

// recorder is a test whose failures are recorded.
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

// A goroutine is found as long as it runs.
func TestCheck(t *testing.T) {
	const name = "leaktest.blockedUntil"
	end, ended := make(chan struct{}), make(chan struct{})
	go blockedUntil(end, ended)
	<-end
	running := &recorder{TB: t}
	Check(running, "leaktest.noSuchFunction", name)
	if len(running.failures) != 1 || !strings.Contains(running.failures[0], name) {
		t.Errorf("while it runs: %q", running.failures)
	}
	end <- struct{}{}
	<-ended
}

// The function that has started a goroutine is not taken for one that the goroutine executes.
func TestStarterIsNoCall(t *testing.T) {
	goroutine := "goroutine 7 [select]:\nnet.read(0x1)\n\t/src/net.go:5\ncreated by pkg.(*T).start in goroutine 1\n\t/src/pkg.go:9"
	if executes(goroutine, "pkg.(*T)") {
		t.Error("the starter was taken for a call")
	}
	if !executes(goroutine, "net.read") {
		t.Error("the call was not found")
	}
}
