// Package outbox collects the effects that the components of a core request during a step, and
// routes the results of transactions and reads back to the component that requested them.
package outbox

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// CommitRetryInterval is the delay before a transaction without a response is resent, in microseconds.
const CommitRetryInterval = 300 * 1000

// retryAfterSeconds is the Retry-After of a response that asks the client to try again.
const retryAfterSeconds = 1

// Outbox holds the effects of one node's core. It is not safe for concurrent use.
type Outbox struct {
	now       Micros
	effects   []msg.Effect
	nextID    uint64
	commits   map[uint64]func(msg.CommitDone) // callbacks of transactions in flight, by ID
	reads     map[uint64]func(msg.ReadDone)   // callbacks of reads in flight, by ID
	onInvalid func(*wire.Transaction)
}

// New returns an empty Outbox. It calls onInvalid with each transaction that the state service
// rejects as malformed, before the callback of that transaction.
func New(onInvalid func(*wire.Transaction)) *Outbox {
	return &Outbox{
		commits:   map[uint64]func(msg.CommitDone){},
		reads:     map[uint64]func(msg.ReadDone){},
		onInvalid: onInvalid,
	}
}

// Begin starts a step at the given time and discards the effects of the previous step.
func (o *Outbox) Begin(now Micros) {
	o.now = now
	o.effects = nil
}

// End returns the effects that were requested since Begin.
func (o *Outbox) End() []msg.Effect { return o.effects }

// Now returns the time of the step.
func (o *Outbox) Now() Micros { return o.now }

// Emit requests an effect whose result, if it has one, is not routed through the outbox.
func (o *Outbox) Emit(effect msg.Effect) { o.effects = append(o.effects, effect) }

// Log requests a log line for the operators. args are alternating keys and values.
func (o *Outbox) Log(message string, args ...any) { o.Emit(msg.Log{Message: message, Args: args}) }

// Debug requests a log line at debug level. args are alternating keys and values.
func (o *Outbox) Debug(message string, args ...any) {
	o.Emit(msg.Log{Debug: true, Message: message, Args: args})
}

// Respond answers a request.
func (o *Outbox) Respond(requestID uint64, status int, body any) {
	o.Emit(msg.Respond{RequestID: requestID, Status: status, Body: body})
}

// RetryLater answers a request that cannot be served now with status 503, a Retry-After header and the reason.
func (o *Outbox) RetryLater(requestID uint64, reason string) {
	o.RetryLaterWith(requestID, wire.Error{Error: reason})
}

// RetryLaterWith is like RetryLater, but with a body that contains more than the reason.
func (o *Outbox) RetryLaterWith(requestID uint64, body any) {
	o.Emit(msg.Respond{
		RequestID:  requestID,
		Status:     http.StatusServiceUnavailable,
		Body:       body,
		RetryAfter: retryAfterSeconds,
	})
}

// NextID returns a new ID for an effect, unique within this outbox.
func (o *Outbox) NextID() uint64 {
	o.nextID++
	return o.nextID
}

// Commit requests a transaction that should not be delayed, for instance because a response or the
// leadership depends on it.
func (o *Outbox) Commit(transaction wire.Transaction, purpose msg.Purpose, callback func(msg.CommitDone)) {
	o.CommitWithPriority(transaction, msg.Critical, purpose, callback)
}

// CommitDeferrable requests a transaction that yields to those of Commit when the write rate of the
// state service does not suffice for all.
func (o *Outbox) CommitDeferrable(transaction wire.Transaction, purpose msg.Purpose, callback func(msg.CommitDone)) {
	o.CommitWithPriority(transaction, msg.Deferrable, purpose, callback)
}

// CommitWithPriority requests a transaction of the given priority.
func (o *Outbox) CommitWithPriority(
	transaction wire.Transaction, priority msg.WritePriority, purpose msg.Purpose, callback func(msg.CommitDone),
) {
	id := o.NextID()
	o.commits[id] = func(done msg.CommitDone) {
		if done.Outcome == msg.Invalid {
			o.onInvalid(&transaction)
		}
		callback(done)
	}
	o.Emit(msg.Commit{ID: id, Transaction: transaction, Priority: priority, Purpose: purpose})
}

// Read requests the value of a key.
func (o *Outbox) Read(key string, callback func(msg.ReadDone)) {
	id := o.NextID()
	o.reads[id] = callback
	o.Emit(msg.Read{ID: id, Key: key})
}

// CommitDone calls the callback of a transaction. Duplicate results are ignored.
func (o *Outbox) CommitDone(done msg.CommitDone) {
	if callback := o.commits[done.ID]; callback != nil {
		delete(o.commits, done.ID)
		callback(done)
	}
}

// ReadDone calls the callback of a read. Duplicate results are ignored.
func (o *Outbox) ReadDone(done msg.ReadDone) {
	if callback := o.reads[done.ID]; callback != nil {
		delete(o.reads, done.ID)
		callback(done)
	}
}
