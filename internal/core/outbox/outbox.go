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

// Box is one node's.
type Box struct {
	now     Micros
	effects []msg.Effect
	nextID  uint64
	commits map[uint64]func(msg.CommitDone)
	reads   map[uint64]func(msg.ReadDone)
	invalid func(*wire.Commit)
}

// New returns an empty Box. It calls invalid with each transaction that the state
// service refuses as malformed, before who asked for it hears of it.
func New(invalid func(*wire.Commit)) *Box {
	return &Box{commits: map[uint64]func(msg.CommitDone){}, reads: map[uint64]func(msg.ReadDone){}, invalid: invalid}
}

// Begin begins a step.
func (b *Box) Begin(now Micros) { b.now, b.effects = now, nil }

// End returns what was asked for since Begin.
func (b *Box) End() []msg.Effect { return b.effects }

// Now is the time of the step.
func (b *Box) Now() Micros { return b.now }

// Emit asks for an effect that nothing comes back from by way of the box.
func (b *Box) Emit(e msg.Effect) { b.effects = append(b.effects, e) }

// Log writes a line for the operator.
func (b *Box) Log(text string, args ...any) { b.Emit(msg.Log{Text: text, Args: args}) }

// Debug writes a line for who looks closely.
func (b *Box) Debug(text string, args ...any) { b.Emit(msg.Log{Debug: true, Text: text, Args: args}) }

// Answer answers a request.
func (b *Box) Answer(req uint64, status int, body any) {
	b.Emit(msg.Answer{Req: req, Status: status, Body: body})
}

// Later answers a request that can't be taken now.
func (b *Box) Later(req uint64, why string) { b.LaterWith(req, wire.Error{Error: why}) }

// LaterWith does the same with more to say than why.
func (b *Box) LaterWith(req uint64, body any) {
	b.Emit(msg.Answer{Req: req, Status: http.StatusServiceUnavailable, Body: body, RetryAfter: retryAfter})
}

// NextID numbers what is asked for.
func (b *Box) NextID() uint64 {
	b.nextID++
	return b.nextID
}

// Commit asks for a transaction that should not wait: somebody is to be answered
// or a claim hangs on it.
func (b *Box) Commit(t wire.Commit, purpose msg.Purpose, then func(msg.CommitDone)) {
	b.Transact(t, msg.First, purpose, then)
}

// CommitLater asks for a transaction that gives way to those of Commit when the
// state service is short of changes.
func (b *Box) CommitLater(t wire.Commit, purpose msg.Purpose, then func(msg.CommitDone)) {
	b.Transact(t, msg.Later, purpose, then)
}

// Transact asks for a transaction of any kind.
func (b *Box) Transact(t wire.Commit, turn msg.Turn, purpose msg.Purpose, then func(msg.CommitDone)) {
	id := b.NextID()
	b.commits[id] = func(d msg.CommitDone) {
		if d.Outcome == msg.Invalid {
			b.invalid(&t)
		}
		then(d)
	}
	b.Emit(msg.Commit{ID: id, Txn: t, Turn: turn, For: purpose})
}

// Read asks for a key.
func (b *Box) Read(key string, then func(msg.ReadDone)) {
	id := b.NextID()
	b.reads[id] = then
	b.Emit(msg.Read{ID: id, Key: key})
}

// CommitDone brings an answer back.
func (b *Box) CommitDone(d msg.CommitDone) {
	if f := b.commits[d.ID]; f != nil {
		delete(b.commits, d.ID)
		f(d)
	}
}

// ReadDone brings an answer back.
func (b *Box) ReadDone(d msg.ReadDone) {
	if f := b.reads[d.ID]; f != nil {
		delete(b.reads, d.ID)
		f(d)
	}
}
