package zone

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/wire"
)

// A heartbeat that arrives out of order changes nothing. A start in a call without an answer is
// unresolved until its worker has seen a higher fencing token.
func TestApplyHeartbeatResolvesStarts(t *testing.T) {
	m := New("m1", "", "t", "a", false, 0)
	heartbeat := func(incarnation, seq, token uint64) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m1", Type: "t", Zone: "a",
			Incarnation: incarnation, Sequence: seq, FencingToken: token}
	}
	if !m.ApplyHeartbeat(1, heartbeat(2, 5, 10), true) || m.ApplyHeartbeat(2, heartbeat(2, 5, 10), true) ||
		m.ApplyHeartbeat(2, heartbeat(1, 9, 10), true) {
		t.Fatal("want only heartbeats with a higher incarnation or sequence applied")
	}
	if !m.StartsResolved() {
		t.Fatal("starts not resolved with nothing in flight")
	}
	m.NoteCall(3, 1, 10, []wire.Command{{Verb: wire.CommandStart, Task: "j-1/0", Attempt: 1}})
	m.NoteCallDone(1, true)
	m.ApplyHeartbeat(4, heartbeat(2, 6, 10), true)
	if m.StartsResolved() {
		t.Fatal("starts resolved although one may still arrive")
	}
	m.ApplyHeartbeat(5, heartbeat(2, 7, 11), true)
	if !m.StartsResolved() {
		t.Fatal("start not resolved although the worker rejects it")
	}
	m.NoteReply(nil)
	m.ApplyHeartbeat(6, heartbeat(2, 8, 11), false)
	if m.StartsResolved() || !m.StartMayArrive(6) {
		t.Fatal("starts resolved by the answer to a direct call, while a response to a heartbeat may be in flight")
	}
	if m.StartMayArrive(5+replyTimeout+config.Second) || m.StartsResolved() {
		t.Fatal("want no start to arrive after replyTimeout, and starts unresolved until the next heartbeat")
	}
	m.ApplyHeartbeat(7, heartbeat(2, 9, 11), true)
	if !m.StartsResolved() || m.StartMayArrive(7) {
		t.Fatal("starts not resolved after the next heartbeat")
	}
}
