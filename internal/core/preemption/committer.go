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
	// decisionInterval is the delay of the next write for each decision in the previous write, and
	// maxDecisionInterval bounds that delay, both in microseconds. A single decision is
	// written at once, and the decisions of a burst share changes.
	decisionInterval    = 50 * 1000
	maxDecisionInterval = config.Second
	// countsInterval is the minimum time between writes of the counts of preempted tasks, which accompany decisions.
	countsInterval = 10 * config.Second
)

// Executor makes decisions and carries out those that a Committer has committed.
type Executor interface {
	// WallClock returns the time of day, or 0 if it is not known yet.
	WallClock() Micros
	// IsNeeded reports whether a decision's preemptor still lacks placements.
	IsNeeded(d *Decision) bool
	// DecisionsCommitted is called with decisions that are committed and may be carried out.
	DecisionsCommitted(decisions []Decision)
	// DecisionsDropped is called with decisions that are not committed and never will be.
	DecisionsDropped(decisions []Decision)
}

// Committer commits the decisions of a leader, one transaction at a time. Every node uses it to keep a copy of the
// stored decisions and counts; the other fields belong to the term in which this node leads. It is not safe for
// concurrent use.
type Committer struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector
	executor Executor

	decisions Decisions
	counts    Counts

	unwritten       []Decision        // decisions that are not in transaction yet
	transaction     *wire.Transaction // transaction whose outcome is not final; nil if there is none
	writing         []Decision        // decisions in transaction
	inFlight        bool              // a response to transaction, or to the reads after its conflict, is pending
	outcomeUnknown  bool              // an earlier attempt of transaction had no response
	nextWriteAt     Micros
	countsWrittenAt Micros
}

// NewCommitter returns a committer without stored decisions and counts. It reports the outcome of decisions to the
// executor.
func NewCommitter(
	out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector, executor Executor,
) *Committer {
	return &Committer{outbox: out, encoding: encoding, elector: elector, executor: executor}
}

// Reset discards the decisions of a past term that are not known to be committed. The stored decisions and the counts
// are kept.
func (c *Committer) Reset() {
	c.unwritten = nil
	c.transaction = nil
	c.writing = nil
	c.inFlight = false
	c.outcomeUnknown = false
	c.nextWriteAt = 0
	c.countsWrittenAt = 0
}

// CanAdd reports whether another decision may be added, because fewer than MaxOpenDecisions are not yet known to be
// committed.
func (c *Committer) CanAdd() bool { return len(c.unwritten)+len(c.writing) < MaxOpenDecisions }

// Add queues a decision to be committed, in parts if it doesn't fit a value.
func (c *Committer) Add(d Decision) {
	c.unwritten = append(c.unwritten, SplitToFit(d, c.encoding.Fits)...)
}

// InForce returns the stored decisions that are in force at a time of day.
func (c *Committer) InForce(wall Micros) []Decision { return c.decisions.InForce(wall) }

// Counts returns the number of preempted tasks by classes and reason. The caller may add to them.
func (c *Committer) Counts() *Counts { return &c.counts }

// Apply applies a stored page of decisions or the stored counts. A leader adds to the counts itself: with counting set,
// only the version of the stored counts is applied. Values that can't be decoded are logged.
func (c *Committer) Apply(change *wire.Change, counting bool) {
	if change.Put == "" {
		return
	}
	var err error
	if change.Put == CountsKey {
		if counting {
			c.counts.NoteStored(change.Version)
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

// Write commits unwritten decisions when the next write is due. It does nothing while a transaction is in flight or
// the fencing token is being replaced.
func (c *Committer) Write() {
	if c.inFlight || c.elector.TokenChangePending() || c.outbox.Now() < c.nextWriteAt {
		return
	}
	if c.transaction != nil {
		// It had no response. It is resent unchanged, and its conditions let only one attempt take effect.
		c.send()
		return
	}
	if len(c.unwritten) == 0 {
		return
	}
	writes, packed := c.decisions.Pack(c.unwritten, c.encoding.MaxOps()-1, c.stillNeeded(), c.encoding.Fits)
	if packed == 0 { // every page is full of decisions that are still needed
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

// stillNeeded returns a function that reports whether a stored decision is in force and its preemptor still lacks
// placements.
func (c *Committer) stillNeeded() func(*Decision) bool {
	now := c.executor.WallClock()
	return func(d *Decision) bool { return d.InForce(now) && c.executor.IsNeeded(d) }
}

// newTransaction returns the transaction that writes pages of decisions, and the counts if countsInterval has passed.
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

// send sends or resends the transaction.
func (c *Committer) send() {
	t := c.transaction
	c.inFlight = true
	c.outbox.CommitWithPriority(*t, msg.Critical, msg.PurposePreemption, func(d msg.CommitDone) {
		if !c.elector.IsLeader() || c.transaction != t {
			return
		}
		c.inFlight = false
		c.handleResult(t, &d)
	})
}

// handleResult handles the result of the transaction.
func (c *Committer) handleResult(t *wire.Transaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		for _, change := range t.Changes {
			c.Apply(&wire.Change{Put: change.Put, Value: change.Value, Version: d.Revision}, true)
		}
		c.executor.DecisionsCommitted(c.writing)
		c.finishTransaction()
	case msg.Unknown:
		c.outcomeUnknown = true
		c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
	case msg.Conflict:
		if !c.elector.ResignIfDeposed(t.Conditions[0].Version, d.Failed) {
			c.readStored(t)
		}
	default:
		c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
		if c.outcomeUnknown { // this attempt was refused, but an earlier one may still be applied
			return
		}
		c.executor.DecisionsDropped(c.writing)
		c.finishTransaction()
	}
}

// finishTransaction clears the transaction, whose outcome is final.
func (c *Committer) finishTransaction() {
	c.transaction = nil
	c.writing = nil
}

// readStored reads the stored values after a conflict. They show whether an earlier attempt of the
// transaction has been applied; if it has not, it never will be.
func (c *Committer) readStored(t *wire.Transaction) {
	pendingReads := len(t.Changes)
	c.inFlight = true
	for _, change := range t.Changes {
		c.outbox.Read(change.Put, func(d msg.ReadDone) {
			if !c.elector.IsLeader() || c.transaction != t {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				c.Apply(&wire.Change{Put: change.Put, Value: d.Item.Value, Version: d.Item.Version}, true)
			}
			pendingReads--
			if pendingReads == 0 {
				c.resolveFromStored()
			}
		})
	}
}

// resolveFromStored finishes the transaction: the decisions that are stored are committed, the others are dropped.
func (c *Committer) resolveFromStored() {
	stored := map[string]Micros{}
	for _, d := range c.decisions.InForce(c.executor.WallClock()) {
		stored[d.Preemptor] = d.Until
	}
	var committed, dropped []Decision
	for _, d := range c.writing {
		if stored[d.Preemptor] == d.Until {
			committed = append(committed, d)
		} else {
			dropped = append(dropped, d)
		}
	}
	c.executor.DecisionsCommitted(committed)
	c.executor.DecisionsDropped(dropped)
	c.finishTransaction()
	c.inFlight = false
	c.nextWriteAt = c.outbox.Now() + outbox.CommitRetryInterval
}
