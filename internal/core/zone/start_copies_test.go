package zone

import (
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// heartbeatOf returns a heartbeat under a token that reports an attempt of j-1/0 as exited.
func heartbeatOf(incarnation, sequence, token, attempt uint64, cause string) *wire.Heartbeat {
	return &wire.Heartbeat{Incarnation: incarnation, Sequence: sequence, FencingToken: token, Tasks: []wire.TaskStatus{
		{Task: "j-1/0", Attempt: attempt, State: wire.Exited, Cause: cause},
	}}
}

func startOf(attempt uint64) []wire.Command {
	return []wire.Command{{Verb: wire.CommandStart, Task: "j-1/0", Attempt: attempt}}
}

// A copy of a call with a start takes effect until the worker has reported a higher token or a later incarnation,
// whatever the attempt has ended with.
func TestCopyOfStartIsVoidByHigherTokenOrLaterIncarnation(t *testing.T) {
	for _, cause := range []string{
		wire.Done, wire.CauseStopped, wire.CauseError, wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown,
		wire.CauseGangIncomplete, wire.CausePeerStopped,
	} {
		for name, c := range map[string]struct {
			incarnation, token uint64
			wantRepeat         bool
			wantToken          uint64
		}{
			"token of the call": {1, 10, true, 10},
			"higher token":      {1, 11, false, 0},
			"later incarnation": {2, 10, false, 0},
		} {
			m := New("m", "a", "t", "z", false, 0)
			m.ApplyHeartbeat(1, &wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9}, true)
			m.NoteCall(2, 1, 10, startOf(1))
			m.ApplyHeartbeat(3, heartbeatOf(1, 2, 10, 1, cause), false)
			m.NoteCallDone(1, false)
			m.ApplyHeartbeat(4, heartbeatOf(c.incarnation, 3, c.token, 1, cause), true)
			got, token := m.StartMayRepeat(job.AttemptKey{Job: "j-1", Attempt: 1}), m.TokenOfExitedStarts()
			if got != c.wantRepeat || token != c.wantToken {
				t.Errorf("%s, %s: may repeat %v, token of exited starts %d", cause, name, got, token)
			}
		}
	}
}

// What a machine keeps of its calls is bounded by the starts since its worker's last token.
func TestCallsUnderLowerTokensAreDiscarded(t *testing.T) {
	m := New("m", "a", "t", "z", false, 0)
	for i := range uint64(1000) {
		m.NoteCall(Micros(i), i, 10+i/10, startOf(i))
		m.NoteCallDone(i, false)
		m.ApplyHeartbeat(Micros(i), heartbeatOf(1, i+1, 10+i/10, i, wire.CauseError), true)
		if n := len(m.startCalls); n > 10 {
			t.Fatalf("%d calls kept after %d", n, i)
		}
	}
	if m.StartMayRepeat(job.AttemptKey{Job: "j-1", Attempt: 5}) {
		t.Error("a call under a lower token is kept")
	}
}
