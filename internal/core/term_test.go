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

// responseStatus returns the status of the response among the effects, or 0 if there is none.
func responseStatus(effects []msg.Effect) int {
	for _, e := range effects {
		if response, ok := e.(msg.Respond); ok {
			return response.Status
		}
	}
	return 0
}

// A listing that was requested before the election may lack placements that earlier leaders have committed
// since: a leader that relied on it would start tasks twice.
func TestLeaderNeedsListingFromItsTerm(t *testing.T) {
	f := newFleet(t, 2)
	f.core = core.New(fleetConfig(2), 0)
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	f.step(config.Second, msg.Tick{WallClock: f.now})
	var campaign msg.Commit
	for _, e := range f.step(1, msg.LeaseDone{Outcome: msg.OK, Lease: 9}) {
		if commit, ok := e.(msg.Commit); ok {
			campaign = commit
		}
	}
	f.version += 3 // two records that other nodes have written, and the leader key
	f.token = f.version
	f.step(1, msg.CommitDone{ID: campaign.ID, Outcome: msg.OK, Revision: f.version})
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version - 1})
	if got := responseStatus(f.step(1, f.heartbeat(1, nil))); got == http.StatusOK {
		t.Error("a heartbeat was answered with status 200 from records that are older than the term")
	}
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	if got := responseStatus(f.step(1, f.heartbeat(1, nil))); got != http.StatusOK {
		t.Errorf("status %d after the records of the term were read, want 200", got)
	}
}

// A worker that has seen a higher fencing token ignores every answer of this node. Therefore the node resigns,
// regardless of which message contains the token, and its workers look for the other leader before their
// leases expire.
func TestHigherTokenEndsTheTerm(t *testing.T) {
	for name, input := range map[string]func(f *fleet) msg.Input{
		"in a heartbeat": func(f *fleet) msg.Input {
			in := f.heartbeat(1, nil).(msg.HeartbeatIn)
			in.Heartbeat.FencingToken = f.token + 7
			return in
		},
		"in the response to a command": func(f *fleet) msg.Input {
			hb := f.heartbeat(1, nil).(msg.HeartbeatIn).Heartbeat
			hb.FencingToken = f.token + 7
			return msg.CommandDone{Machine: hb.Machine, Outcome: msg.Refused, Heartbeat: &hb}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			if got := responseStatus(f.step(1, f.heartbeat(0, nil))); got != http.StatusOK {
				t.Fatalf("status %d before the higher token, want 200", got)
			}
			f.step(1, input(f))
			if got := responseStatus(f.step(1, f.heartbeat(0, nil))); got == http.StatusOK {
				t.Error("the node still answers heartbeats with status 200 after the higher token")
			}
		})
	}
}

// A worker that has not seen this leader's token yet accepts commands of an earlier leader, which may arrive
// after any delay. Therefore such a worker may still start the tasks of a cancelled job that it doesn't
// report now, and their placements stay open.
func TestPredecessorsCommandsMayArriveLate(t *testing.T) {
	// closingWrites returns the number of writes of the record and the completion log after the worker
	// has reported none of the tasks.
	closingWrites := func(tokenSeen bool) (n int) {
		f := newFleet(t, 2)
		token := f.token
		var record job.Record
		if err := job.DecodeRecord(f.records[0].Value, &record); err != nil {
			t.Fatal(err)
		}
		record.CancelRequested = true
		f.records = f.records[1:]
		f.put(t, jobName(0), &record)
		f.takeOver(t)
		if tokenSeen {
			token = f.token
		}
		in := f.heartbeat(1, nil).(msg.HeartbeatIn)
		in.Heartbeat.FencingToken, in.Heartbeat.Tasks = token, nil
		effects := f.step(1, in)
		for range 3 {
			effects = append(effects, f.step(config.Second, msg.Tick{WallClock: f.now})...)
		}
		for _, e := range effects {
			commit, ok := e.(msg.Commit)
			if ok && slices.ContainsFunc(commit.Transaction.Changes, func(c wire.Change) bool {
				return c.Put == job.RecordKey(jobName(0)) || strings.HasPrefix(c.Put, job.KeyRoot+"ended/")
			}) {
				n++
			}
		}
		return n
	}
	if closingWrites(false) > 0 {
		t.Error("placements were closed although the worker has not seen the token")
	}
	if closingWrites(true) == 0 {
		t.Error("no placement was closed although the worker has seen the token")
	}
}

// A task that no record places on its machine is stopped, regardless of what has started it there.
func TestUnplacedTaskIsStopped(t *testing.T) {
	f := newFleet(t, 2)
	in := f.heartbeat(1, nil).(msg.HeartbeatIn)
	unplaced := wire.TaskName(pendingName(0), 0)
	in.Heartbeat.Tasks = append(in.Heartbeat.Tasks, wire.TaskStatus{Task: unplaced, Attempt: 1, State: wire.Running})
	for _, e := range f.step(1, in) {
		response, ok := e.(msg.Respond)
		if !ok {
			continue
		}
		commands := response.Body.(wire.HeartbeatResponse).Commands
		if len(commands) != 1 || commands[0].Verb != wire.CommandStop || commands[0].Task != unplaced ||
			commands[0].GraceS == nil || *commands[0].GraceS != 0 {
			t.Errorf("commands %+v, want only a stop of %s without grace period", commands, unplaced)
		}
		return
	}
	t.Error("the heartbeat was not answered")
}
