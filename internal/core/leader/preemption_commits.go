package leader

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/preemption"
	"coralhub/wire"
)

const (
	// decisionInterval and maxDecisionInterval are how long the next write of decisions
	// waits, for each decision in the last one and at most: a single one is written at
	// once, and those of a burst share changes. In microseconds.
	decisionInterval    = 50 * 1000
	maxDecisionInterval = config.Second
	// countsInterval is how often the counts of preempted tasks are written together with decisions.
	countsInterval = 10 * config.Second
)

// writeDecisions commits unwritten decisions.
func (pd *preemptionDecisions) writeDecisions() {
	if pd.inFlight || pd.elector.TokenChangePending() || pd.outbox.Now() < pd.nextWriteAt {
		return
	}
	if pd.transaction != nil { // had no answer: the same is sent again, by its conditions one of the two takes effect
		pd.sendDecisions()
		return
	}
	if len(pd.unwritten) == 0 {
		return
	}
	writes, packed := pd.decisions.Pack(pd.unwritten, pd.encoding.MaxOps()-1, pd.stillNeeded(), pd.encoding.Fits)
	if packed == 0 { // every page is full of decisions in force
		pd.dropDecisions(pd.unwritten)
		pd.unwritten = nil
		return
	}
	pd.writing = slices.Clone(pd.unwritten[:packed])
	pd.unwritten = slices.Clone(pd.unwritten[packed:])
	pd.transaction = pd.decisionTransaction(writes)
	pd.outcomeUnknown = false
	pd.nextWriteAt = pd.outbox.Now() + min(maxDecisionInterval, decisionInterval*Micros(packed))
	pd.sendDecisions()
}

// stillNeeded returns a function that reports whether a stored decision is in force and its preemptor still wants
// placements.
func (pd *preemptionDecisions) stillNeeded() func(*preemption.Decision) bool {
	now := pd.wallClock()
	return func(d *preemption.Decision) bool {
		j := pd.jobs[d.Preemptor]
		return d.InForce(now) && j != nil && j.wantsPlacements()
	}
}

// decisionTransaction returns the transaction that writes pages of decisions, and now and then the counts.
func (pd *preemptionDecisions) decisionTransaction(writes []preemption.PageWrite) *wire.Transaction {
	t := &wire.Transaction{Conditions: []wire.Condition{pd.elector.Condition()}}
	for _, w := range writes {
		key := preemption.PageKey(w.Page)
		t.Conditions = append(t.Conditions, wire.Condition{Key: key, Version: w.Version})
		t.Changes = append(t.Changes, wire.Change{Put: key, Value: w.Value})
	}
	if pd.outbox.Now()-pd.countsWrittenAt < countsInterval {
		return t
	}
	if value := pd.counts.Value(pd.encoding.Fits); value != nil {
		pd.countsWrittenAt = pd.outbox.Now()
		t.Conditions = append(t.Conditions, wire.Condition{Key: preemption.CountsKey, Version: pd.counts.Version()})
		t.Changes = append(t.Changes, wire.Change{Put: preemption.CountsKey, Value: value})
	}
	return t
}

// sendDecisions sends the transaction, for the first time or again.
func (pd *preemptionDecisions) sendDecisions() {
	t := pd.transaction
	pd.inFlight = true
	pd.outbox.CommitWithPriority(*t, msg.Critical, msg.PurposePreemption, func(d msg.CommitDone) {
		if !pd.elector.IsLeader() || pd.transaction != t {
			return
		}
		pd.inFlight = false
		pd.onDecisionsAnswer(t, &d)
	})
}

// onDecisionsAnswer handles the answer to the transaction.
func (pd *preemptionDecisions) onDecisionsAnswer(t *wire.Transaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		for _, change := range t.Changes {
			pd.applyDecisions(&wire.Change{Put: change.Put, Value: change.Value, Version: d.Revision})
		}
		pd.decisionsCommitted(pd.writing)
		pd.settleDecisions()
	case msg.Unknown:
		pd.outcomeUnknown = true
		pd.nextWriteAt = pd.outbox.Now() + commitRetryInterval
	case msg.Conflict:
		if !pd.elector.DeposedBy(t.Conditions[0].Version, d.Failed) {
			pd.readDecisions(t)
		}
	default:
		pd.nextWriteAt = pd.outbox.Now() + commitRetryInterval
		if pd.outcomeUnknown { // this sending was refused; an earlier one may still be applied
			return
		}
		pd.dropDecisions(pd.writing)
		pd.settleDecisions()
	}
}

// settleDecisions ends the transaction.
func (pd *preemptionDecisions) settleDecisions() {
	pd.transaction = nil
	pd.writing = nil
}

// readDecisions reads what is stored after a conflict: either an earlier sending of the transaction
// has been applied after all, or it never will be.
func (pd *preemptionDecisions) readDecisions(t *wire.Transaction) {
	unanswered := len(t.Changes)
	pd.inFlight = true
	for _, change := range t.Changes {
		pd.outbox.Read(change.Put, func(d msg.ReadDone) {
			if !pd.elector.IsLeader() || pd.transaction != t {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				pd.applyDecisions(&wire.Change{Put: change.Put, Value: d.Item.Value, Version: d.Item.Version})
			}
			unanswered--
			if unanswered == 0 {
				pd.settleByStored()
			}
		})
	}
}

// settleByStored ends the transaction by what is stored: decisions that are there are carried out, the others dropped.
func (pd *preemptionDecisions) settleByStored() {
	stored := map[string]Micros{}
	for _, d := range pd.decisions.InForce(pd.wallClock()) {
		stored[d.Preemptor] = d.Until
	}
	var committed, lost []preemption.Decision
	for _, d := range pd.writing {
		if stored[d.Preemptor] == d.Until {
			committed = append(committed, d)
		} else {
			lost = append(lost, d)
		}
	}
	pd.decisionsCommitted(committed)
	pd.dropDecisions(lost)
	pd.settleDecisions()
	pd.inFlight = false
	pd.nextWriteAt = pd.outbox.Now() + commitRetryInterval
}
