// Package leaktest checks in tests that no goroutine of the tested code outlives its owner.
package leaktest

import (
	"runtime"
	"strings"
	"testing"
)

// maxDumpBytes is the maximum size of the stack dump of all goroutines; a longer dump is truncated.
const maxDumpBytes = 16 << 20

// Check fails the test if the stack trace of a goroutine has a call of a function whose name contains one
// of names, for example "scale.(*region)". It does not wait for goroutines to end: the code that started
// them must already have waited.
func Check(tb testing.TB, names ...string) {
	tb.Helper()
	dump := make([]byte, maxDumpBytes)
	dump = dump[:runtime.Stack(dump, true)]
	for goroutine := range strings.SplitSeq(string(dump), "\n\n") {
		for _, name := range names {
			if executes(goroutine, name) {
				tb.Errorf("leaked goroutine:\n%s", goroutine)
				break
			}
		}
	}
}

// executes reports whether a goroutine's stack trace has a call of a function whose name contains name.
// The "created by" line, which names the function that started the goroutine, is not a call.
func executes(goroutine, name string) bool {
	for line := range strings.SplitSeq(goroutine, "\n") {
		isCall := !strings.HasPrefix(line, "created by ") && !strings.HasPrefix(line, "\t")
		if isCall && strings.Contains(line, name) {
			return true
		}
	}
	return false
}
