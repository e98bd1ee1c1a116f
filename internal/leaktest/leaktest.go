// Package leaktest lets tests check that no goroutine of the tested code outlives its owner.
package leaktest

import (
	"runtime"
	"strings"
	"testing"
)

// maxDumpBytes bounds the dump of all goroutines.
const maxDumpBytes = 16 << 20

// Check fails the test if a goroutine is executing a function whose name, as stack traces write it,
// contains one of names. It doesn't wait for goroutines to end: whoever started them must have done so.
func Check(tb testing.TB, names ...string) {
	tb.Helper()
	dump := make([]byte, maxDumpBytes)
	dump = dump[:runtime.Stack(dump, true)]
	for goroutine := range strings.SplitSeq(string(dump), "\n\n") {
		for _, name := range names {
			if executes(goroutine, name) {
				tb.Errorf("a goroutine was left running:\n%s", goroutine)
				break
			}
		}
	}
}

// executes reports whether a goroutine's stack trace has a call of a function whose name contains name.
// The line that says which function has started the goroutine is no call.
func executes(goroutine, name string) bool {
	for line := range strings.SplitSeq(goroutine, "\n") {
		isCall := !strings.HasPrefix(line, "created by ") && !strings.HasPrefix(line, "\t")
		if isCall && strings.Contains(line, name) {
			return true
		}
	}
	return false
}
