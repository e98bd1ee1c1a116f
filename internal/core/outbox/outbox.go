// Package outbox gathers what the rooms of a core ask for during a step, and brings
// answers back to who asked.
package outbox

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// retryAfter is what is told when the service can't answer now, in seconds.
const retryAfter = 1

// Outbox is one node's.
type Outbox struct {
	now       Micros
	effects   []msg.Effect
	nextID    uint64
	commits   map[uint64]func(msg.CommitDone)
	reads     map[uint64]func(msg.ReadDone)
	onInvalid func(*wire.Transaction)
}

// New returns an empty Box. It calls invalid with each transaction that the state
// service refuses as malformed, before who asked for it hears of it.
func New(invalid func(*wire.Transaction)) *Outbox {
	return &Outbox{commits: map[uint64]func(msg.CommitDone){}, reads: map[uint64]func(msg.ReadDone){}, onInvalid: invalid}
}

// Begin begins a step.
func (b *Outbox) Begin(now Micros) { b.now, b.effects = now, nil }

// End returns what was asked for since Begin.
func (b *Outbox) End() []msg.Effect { return b.effects }

// Now is the time of the step.
func (b *Outbox) Now() Micros { return b.now }

// Emit asks for an effect that nothing comes back from by way of the box.
func (b *Outbox) Emit(e msg.Effect) { b.effects = append(b.effects, e) }

// Log writes a line for the operator.
func (b *Outbox) Log(text string, args ...any) { b.Emit(msg.Log{Message: text, Args: args}) }

// Debug writes a line for who looks closely.
func (b *Outbox) Debug(text string, args ...any) {
	b.Emit(msg.Log{Debug: true, Message: text, Args: args})
}

// Respond answers a request.
func (b *Outbox) Respond(req uint64, status int, body any) {
	b.Emit(msg.Respond{RequestID: req, Status: status, Body: body})
}

// RetryLater answers a request that can't be taken now.
func (b *Outbox) RetryLater(req uint64, why string) { b.RetryLaterWith(req, wire.Error{Error: why}) }

// RetryLaterWith does the same with more to say than why.
func (b *Outbox) RetryLaterWith(req uint64, body any) {
	b.Emit(msg.Respond{RequestID: req, Status: http.StatusServiceUnavailable, Body: body, RetryAfter: retryAfter})
}

// NextID numbers what is asked for.
func (b *Outbox) NextID() uint64 {
	b.nextID++
	return b.nextID
}

// Commit asks for a transaction that should not wait: somebody is to be answered
// or a claim hangs on it.
func (b *Outbox) Commit(t wire.Transaction, purpose msg.Purpose, then func(msg.CommitDone)) {
	b.CommitWithPriority(t, msg.Critical, purpose, then)
}

// CommitDeferrable asks for a transaction that gives way to those of Commit when the
// state service is short of changes.
func (b *Outbox) CommitDeferrable(t wire.Transaction, purpose msg.Purpose, then func(msg.CommitDone)) {
	b.CommitWithPriority(t, msg.Deferrable, purpose, then)
}

// CommitWithPriority asks for a transaction of any kind.
func (b *Outbox) CommitWithPriority(t wire.Transaction, turn msg.WritePriority, purpose msg.Purpose, then func(msg.CommitDone)) {
	id := b.NextID()
	b.commits[id] = func(d msg.CommitDone) {
		if d.Outcome == msg.Invalid {
			b.onInvalid(&t)
		}
		then(d)
	}
	b.Emit(msg.Commit{ID: id, Transaction: t, Priority: turn, Purpose: purpose})
}

// Read asks for a key.
func (b *Outbox) Read(key string, then func(msg.ReadDone)) {
	id := b.NextID()
	b.reads[id] = then
	b.Emit(msg.Read{ID: id, Key: key})
}

// CommitDone brings an answer back.
func (b *Outbox) CommitDone(d msg.CommitDone) {
	if f := b.commits[d.ID]; f != nil {
		delete(b.commits, d.ID)
		f(d)
	}
}

// ReadDone brings an answer back.
func (b *Outbox) ReadDone(d msg.ReadDone) {
	if f := b.reads[d.ID]; f != nil {
		delete(b.reads, d.ID)
		f(d)
	}
}
