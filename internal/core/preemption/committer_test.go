package preemption

import (
	"reflect"
	"slices"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// noopListener is an election.Listener that does nothing.
type noopListener struct{}

func (noopListener) OnElected()                     {}
func (noopListener) OnDeposed(string, uint64)       {}
func (noopListener) OnHolderChanged(string, string) {}

// recordingExecutor records the preemptors of the decisions that are committed and of those that are dropped.
type recordingExecutor struct{ committed, dropped []string }

func (e *recordingExecutor) WallClock() Micros       { return 100 * config.Second }
func (e *recordingExecutor) IsNeeded(*Decision) bool { return true }

func (e *recordingExecutor) DecisionsCommitted(decisions []Decision) {
	e.committed = append(e.committed, preemptors(decisions)...)
}

func (e *recordingExecutor) DecisionsDropped(decisions []Decision) {
	e.dropped = append(e.dropped, preemptors(decisions)...)
}

func preemptors(decisions []Decision) []string {
	var names []string
	for i := range decisions {
		names = append(names, decisions[i].Preemptor)
	}
	return names
}

// committerTest is a committer of an elected leader.
type committerTest struct {
	t         *testing.T
	outbox    *outbox.Outbox
	executor  *recordingExecutor
	committer *Committer
	now       Micros
}

func newCommitterTest(t *testing.T) *committerTest {
	t.Helper()
	ct := &committerTest{t: t, outbox: outbox.New(func(*wire.Transaction) {}), executor: &recordingExecutor{}}
	elector := election.New(ct.outbox, "ch/leader", "n1", 4*config.Second, 1, noopListener{})
	ct.step(config.Second, elector.Tick)
	effects := ct.step(config.Second, func() { elector.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: 7}) })
	ct.respond(ct.onlyCommit(effects), msg.CommitDone{Outcome: msg.OK, Revision: 10})
	if !elector.IsLeader() {
		t.Fatal("not elected")
	}
	limits := config.State{ValueKB: 4, TxnOps: 8, RPS: 100, WriteRPS: 25}
	ct.committer = NewCommitter(ct.outbox, records.NewEncoding(&limits), elector, ct.executor)
	return ct
}

// step advances the clock, runs f and returns the effects.
func (ct *committerTest) step(d Micros, f func()) []msg.Effect {
	ct.now += d
	ct.outbox.Begin(ct.now)
	f()
	return ct.outbox.End()
}

// onlyCommit returns the only transaction among the effects.
func (ct *committerTest) onlyCommit(effects []msg.Effect) msg.Commit {
	ct.t.Helper()
	i := slices.IndexFunc(effects, func(e msg.Effect) bool { _, ok := e.(msg.Commit); return ok })
	if i < 0 {
		ct.t.Fatalf("no transaction in %v", effects)
	}
	return effects[i].(msg.Commit)
}

func (ct *committerTest) respond(c msg.Commit, done msg.CommitDone) []msg.Effect {
	done.ID = c.ID
	return ct.step(config.Second/100, func() { ct.outbox.CommitDone(done) })
}

// respondToReads answers the reads among the effects.
func (ct *committerTest) respondToReads(effects []msg.Effect, item wire.KeyValue) {
	ct.step(config.Second, func() {
		for _, e := range effects {
			if read, ok := e.(msg.Read); ok {
				ct.outbox.ReadDone(msg.ReadDone{ID: read.ID, Outcome: msg.OK, Item: item})
			}
		}
	})
}

// add adds a decision for job-1 and returns the transaction that commits it.
func (ct *committerTest) add() msg.Commit {
	ct.t.Helper()
	return ct.onlyCommit(ct.step(config.Second, func() {
		ct.committer.Add(Decision{Preemptor: "job-1", Until: 110 * config.Second, ReservedMachines: []string{"m1"}})
		ct.committer.Write()
	}))
}

func (ct *committerTest) expect(committed, dropped []string) {
	ct.t.Helper()
	if !slices.Equal(ct.executor.committed, committed) || !slices.Equal(ct.executor.dropped, dropped) {
		ct.t.Errorf("committed %v and dropped %v, want %v and %v",
			ct.executor.committed, ct.executor.dropped, committed, dropped)
	}
}

// A decision may be carried out once it is committed, and is dropped once it is certain that it never will be
// committed.
func TestDecisionsByOutcome(t *testing.T) {
	t.Run("committed", func(t *testing.T) {
		ct := newCommitterTest(t)
		c := ct.add()
		ct.expect(nil, nil)
		ct.respond(c, msg.CommitDone{Outcome: msg.OK, Revision: 20})
		ct.expect([]string{"job-1"}, nil)
		if got := preemptors(ct.committer.InForce(ct.executor.WallClock())); !slices.Equal(got, []string{"job-1"}) {
			t.Errorf("in force: %v", got)
		}
	})
	t.Run("refused", func(t *testing.T) {
		ct := newCommitterTest(t)
		ct.respond(ct.add(), msg.CommitDone{Outcome: msg.Refused})
		ct.expect(nil, []string{"job-1"})
	})
	t.Run("refused after an unknown outcome", func(t *testing.T) {
		ct := newCommitterTest(t)
		first := ct.add()
		ct.respond(first, msg.CommitDone{Outcome: msg.Unknown})
		if early := ct.step(outbox.CommitRetryInterval-2, ct.committer.Write); len(early) != 0 {
			t.Errorf("resent too early: %v", early)
		}
		again := ct.onlyCommit(ct.step(2, ct.committer.Write))
		if !reflect.DeepEqual(again.Transaction, first.Transaction) {
			t.Errorf("resent %+v, want %+v", again.Transaction, first.Transaction)
		}
		ct.respond(again, msg.CommitDone{Outcome: msg.Refused})
		ct.expect(nil, nil) // the first attempt may still be applied
	})
}

// After a conflict, the stored page shows whether an earlier attempt was applied.
func TestConflictIsResolvedFromStoredPages(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "not applied": false} {
		t.Run(name, func(t *testing.T) {
			ct := newCommitterTest(t)
			c := ct.add()
			page := c.Transaction.Changes[0]
			effects := ct.respond(c, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{page.Put}})
			ct.expect(nil, nil)
			item := wire.KeyValue{Key: page.Put}
			if applied {
				item.Value = page.Value
				item.Version = 20
			}
			ct.respondToReads(effects, item)
			if applied {
				ct.expect([]string{"job-1"}, nil)
			} else {
				ct.expect(nil, []string{"job-1"})
			}
		})
	}
}
