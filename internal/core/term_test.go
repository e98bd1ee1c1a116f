package core_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// status is that of the answer among effects; 0: there is none.
func status(effects []msg.Effect) int {
	for _, e := range effects {
		if a, ok := e.(msg.Respond); ok {
			return a.Status
		}
	}
	return 0
}

// A listing that was asked for before the claim was made lacks what predecessors have placed since: a
// leader that went by it would start tasks twice.
func TestLeadsByNothingOlderThanItsClaim(t *testing.T) {
	f := newFleet(t, 2)
	f.core = core.New(fleetConfig(2), 0)
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	f.step(config.Second, msg.Tick{WallClock: f.now})
	var claim msg.Commit
	for _, e := range f.step(1, msg.LeaseDone{Outcome: msg.OK, Lease: 9}) {
		if x, ok := e.(msg.Commit); ok {
			claim = x
		}
	}
	f.version += 3 // two records that others have written, and the claim
	f.token = f.version
	f.step(1, msg.CommitDone{ID: claim.ID, Outcome: msg.OK, Revision: f.version})
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version - 1})
	if got := status(f.step(1, f.report(1, nil))); got == http.StatusOK {
		t.Error("a worker is answered by records from before the claim")
	}
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	if got := status(f.step(1, f.report(1, nil))); got != http.StatusOK {
		t.Errorf("once the records have been read: %d", got)
	}
}

// A worker that has seen a higher token drops every answer of this node: it resigns, whichever way it
// hears of that, and lets its workers look for the other one before their leases end.
func TestHigherTokenEndsAReign(t *testing.T) {
	for name, hear := range map[string]func(f *fleet) msg.Input{
		"by a report": func(f *fleet) msg.Input {
			in := f.report(1, nil).(msg.HeartbeatIn)
			in.Heartbeat.FencingToken = f.token + 7
			return in
		},
		"by the answer to a call": func(f *fleet) msg.Input {
			r := f.report(1, nil).(msg.HeartbeatIn).Heartbeat
			r.FencingToken = f.token + 7
			return msg.CommandDone{Machine: r.Machine, Outcome: msg.Refused, Heartbeat: &r}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			if got := status(f.step(1, f.report(0, nil))); got != http.StatusOK {
				t.Fatalf("before: %d", got)
			}
			f.step(1, hear(f))
			if got := status(f.step(1, f.report(0, nil))); got == http.StatusOK {
				t.Error("it goes on answering workers")
			}
		})
	}
}

// A call of a predecessor may reach a worker that has not seen this leader's token yet, however late. So it proves
// nothing that such a worker doesn't report the tasks of a cancelled job.
func TestPredecessorsCallsMayArrive(t *testing.T) {
	// closed counts how often the record or the log is written once the worker has said that it has none of the tasks.
	closed := func(followed bool) (n int) {
		f := newFleet(t, 2)
		token := f.token
		var rec job.Record
		if err := job.DecodeRecord(f.records[0].Value, &rec); err != nil {
			t.Fatal(err)
		}
		rec.CancelRequested = true
		f.records = f.records[1:]
		f.put(t, jobName(0), &rec)
		f.takeOver(t)
		if followed {
			token = f.token
		}
		in := f.report(1, nil).(msg.HeartbeatIn)
		in.Heartbeat.FencingToken, in.Heartbeat.Tasks = token, nil
		effects := f.step(1, in)
		for range 3 {
			effects = append(effects, f.step(config.Second, msg.Tick{WallClock: f.now})...)
		}
		for _, e := range effects {
			x, ok := e.(msg.Commit)
			if ok && slices.ContainsFunc(x.Transaction.Changes, func(c wire.Change) bool {
				return c.Put == job.RecordKey(jobName(0)) || strings.HasPrefix(c.Put, job.KeyRoot+"ended/")
			}) {
				n++
			}
		}
		return n
	}
	if closed(false) > 0 {
		t.Error("what it doesn't report before it has seen our token is taken for gone")
	}
	if closed(true) == 0 {
		t.Error("nothing is closed though the worker has seen our token")
	}
}

// A task that no record places on its machine is never let run, whatever has started it there.
func TestWhatIsNotPlacedIsStopped(t *testing.T) {
	f := newFleet(t, 2)
	in := f.report(1, nil).(msg.HeartbeatIn)
	stray := wire.TaskName(waitingName(0), 0)
	in.Heartbeat.Tasks = append(in.Heartbeat.Tasks, wire.TaskStatus{Task: stray, Attempt: 1, State: wire.Running})
	for _, e := range f.step(1, in) {
		a, ok := e.(msg.Respond)
		if !ok {
			continue
		}
		orders := a.Body.(wire.HeartbeatResponse).Commands
		if len(orders) != 1 || orders[0].Verb != wire.CommandStop || orders[0].Task != stray || orders[0].GraceS == nil || *orders[0].GraceS != 0 {
			t.Errorf("it is told %+v", orders)
		}
		return
	}
	t.Error("no answer")
}
