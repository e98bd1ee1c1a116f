package preemption

import (
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
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

// Executor makes decisions and carries them out.
type Executor interface {
	// WallClock returns the time of day; 0: not known yet.
	WallClock() Micros
	// IsNeeded reports whether a decision's preemptor still wants placements.
	IsNeeded(d *Decision) bool
	// DecisionsCommitted is called for decisions that are committed, and may be carried out.
	DecisionsCommitted(decisions []Decision)
	// DecisionsDropped is called for decisions that are not committed and never will be.
	DecisionsDropped(decisions []Decision)
}

// Committer commits the decisions of a leader, one transaction at a time. Every node follows the stored decisions
// and counts with it; the rest is of the term in which this node leads. It is not safe for concurrent use.
type Committer struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector
	executor Executor

	decisions Decisions
	counts    Counts

	unwritten       []Decision        // not in flight yet
	transaction     *wire.Transaction // not settled; nil: none
	writing         []Decision        // that transaction commits
	inFlight        bool              // the answer to transaction is still expected
	outcomeUnknown  bool              // an earlier sending of transaction had no answer
	nextWriteAt     Micros
	countsWrittenAt Micros
}

// NewCommitter returns a committer that has read nothing yet. It reports what becomes of decisions to the executor.
func NewCommitter(out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector, executor Executor) *Committer {
	return &Committer{outbox: out, encoding: encoding, elector: elector, executor: executor}
}

// Reset forgets what was decided in a term that is over and is not known to be committed.
func (c *Committer) Reset() {
	c.unwritten = nil
	c.transaction = nil
	c.writing = nil
	c.inFlight = false
	c.outcomeUnknown = false
	c.nextWriteAt = 0
	c.countsWrittenAt = 0
}

// CanAdd reports whether one more decision can be open.
func (c *Committer) CanAdd() bool { return len(c.unwritten)+len(c.writing) < MaxOpenDecisions }

// Add has a decision committed, in parts if it doesn't fit a value.
func (c *Committer) Add(d Decision) {
	c.unwritten = append(c.unwritten, SplitToFit(d, c.encoding.Fits)...)
}

// InForce returns the stored decisions that are in force at a time of day.
func (c *Committer) InForce(wall Micros) []Decision { return c.decisions.InForce(wall) }

// Counts returns how many tasks were preempted, by classes. The caller may add to them.
func (c *Committer) Counts() *Counts { return &c.counts }

// Apply applies a stored page of decisions, or the stored counts: a node that counts itself, because it is the leader,
// takes their version alone. Unreadable values are logged.
func (c *Committer) Apply(change *wire.Change, counting bool) {
	if change.Put == "" {
		return
	}
	var err error
	if change.Put == CountsKey {
		if counting {
			c.counts.Written(change.Version)
			return
		}
		err = c.counts.Apply(change.Version, change.Value)
	} else if n, ok := ParsePage(strings.TrimPrefix(change.Put, KeyPrefix)); ok {
		err = c.decisions.Apply(n, change.Version, change.Value)
	}
	if err != nil {
		c.outbox.Log("stored value unreadable", "key", change.Put, "error", err.Error())
	}
}

// Write commits unwritten decisions.
func (c *Committer) Write() {
	if c.inFlight || c.elector.TokenChangePending() || c.outbox.Now() < c.nextWriteAt {
		return
	}
	if c.transaction != nil { // had no answer: the same is sent again, by its conditions one of the two takes effect
		c.send()
		return
	}
	if len(c.unwritten) == 0 {
		return
	}
	writes, packed := c.decisions.Pack(c.unwritten, c.encoding.MaxOps()-1, c.stillNeeded(), c.encoding.Fits)
	if packed == 0 { // every page is full of decisions in force
		c.executor.DecisionsDropped(c.unwritten)
		c.unwritten = nil
		return
	}
	c.writing = slices.Clone(c.unwritten[:packed])
	c.unwritten = slices.Clone(c.unwritten[packed:])
	c.transaction = c.newTransaction(writes)
	c.outcomeUnknown = false
	c.nextWriteAt = c.outbox.Now() + min(maxDecisionInterval, decisionInterval*Micros(packed))
	c.send()
}

// stillNeeded returns a function that reports whether a stored decision is in force and its preemptor still wants
// placements.
func (c *Committer) stillNeeded() func(*Decision) bool {
	now := c.executor.WallClock()
	return func(d *Decision) bool { return d.InForce(now) && c.executor.IsNeeded(d) }
}

// newTransaction returns the transaction that writes pages of decisions, and now and then the counts.
func (c *Committer) newTransaction(writes []PageWrite) *wire.Transaction {
	t := &wire.Transaction{Conditions: []wire.Condition{c.elector.Condition()}}
	for _, w := range writes {
		key := PageKey(w.Page)
		t.Conditions = append(t.Conditions, wire.Condition{Key: key, Version: w.Version})
		t.Changes = append(t.Changes, wire.Change{Put: key, Value: w.Value})
	}
	if c.outbox.Now()-c.countsWrittenAt < countsInterval {
		return t
	}
	if value := c.counts.Value(c.encoding.Fits); value != nil {
		c.countsWrittenAt = c.outbox.Now()
		t.Conditions = append(t.Conditions, wire.Condition{Key: CountsKey, Version: c.counts.Version()})
		t.Changes = append(t.Changes, wire.Change{Put: CountsKey, Value: value})
	}
	return t
}

// send sends the transaction, for the first time or again.
func (c *Committer) send() {
	t := c.transaction
	c.inFlight = true
	c.outbox.CommitWithPriority(*t, msg.Critical, msg.PurposePreemption, func(d msg.CommitDone) {
		if !c.elector.IsLeader() || c.transaction != t {
			return
		}
		c.inFlight = false
		c.onAnswer(t, &d)
	})
}

// onAnswer handles the answer to the transaction.
func (c *Committer) onAnswer(t *wire.Transaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		for _, change := range t.Changes {
			c.Apply(&wire.Change{Put: change.Put, Value: change.Value, Version: d.Revision}, true)
		}
		c.executor.DecisionsCommitted(c.writing)
		c.settle()
	case msg.Unknown:
		c.outcomeUnknown = true
		c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
	case msg.Conflict:
		if !c.elector.DeposedBy(t.Conditions[0].Version, d.Failed) {
			c.readStored(t)
		}
	default:
		c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
		if c.outcomeUnknown { // this sending was refused; an earlier one may still be applied
			return
		}
		c.executor.DecisionsDropped(c.writing)
		c.settle()
	}
}

// settle ends the transaction.
func (c *Committer) settle() {
	c.transaction = nil
	c.writing = nil
}

// readStored reads what is stored after a conflict: either an earlier sending of the transaction
// has been applied after all, or it never will be.
func (c *Committer) readStored(t *wire.Transaction) {
	unanswered := len(t.Changes)
	c.inFlight = true
	for _, change := range t.Changes {
		c.outbox.Read(change.Put, func(d msg.ReadDone) {
			if !c.elector.IsLeader() || c.transaction != t {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				c.Apply(&wire.Change{Put: change.Put, Value: d.Item.Value, Version: d.Item.Version}, true)
			}
			unanswered--
			if unanswered == 0 {
				c.settleByStored()
			}
		})
	}
}

// settleByStored ends the transaction by what is stored: decisions that are there are committed, the others dropped.
func (c *Committer) settleByStored() {
	stored := map[string]Micros{}
	for _, d := range c.decisions.InForce(c.executor.WallClock()) {
		stored[d.Preemptor] = d.Until
	}
	var committed, lost []Decision
	for _, d := range c.writing {
		if stored[d.Preemptor] == d.Until {
			committed = append(committed, d)
		} else {
			lost = append(lost, d)
		}
	}
	c.executor.DecisionsCommitted(committed)
	c.executor.DecisionsDropped(lost)
	c.settle()
	c.inFlight = false
	c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
}
