// Package inbox queues the inputs of a node's loop by class, so that what keeps the node alive never waits
// behind what users send. Each class has a maximum length and a maximum waiting time: what exceeds
// them is shed at once, which costs a hundredth of answering it.
package inbox

import (
	"sync"
	"time"
)

// Class is a class of inputs, the most important first.
type Class int

// The classes, and who may fill each.
const (
	// Liveness is for answers to what this node has asked of the state service and the cloud, and for
	// heartbeat batches: bounded by what the node asks and by the number of nodes.
	Liveness Class = iota
	// Workers is for heartbeats, and for answers of the leader and of workers: bounded by the machines
	// and the interval of their heartbeats.
	Workers
	// Users is for polls and cancellations: bounded by nothing but users.
	Users
	// Submissions is for new jobs and peers' updates about them.
	Submissions
	classes
)

// weights are how many inputs of each class are taken in a round while all of them wait. No class starves
// another: even a node that is late with everything takes every fifteenth input from the last.
var weights = [classes]int{8, 4, 2, 1}

// limits are how many inputs of a class may wait, and for how long an offered one may.
var limits = [classes]struct {
	length  int
	maxWait time.Duration
}{
	Liveness:    {2048, 2 * time.Second},
	Workers:     {2048, 2 * time.Second},
	Users:       {1024, time.Second},
	Submissions: {512, 2 * time.Second},
}

type item[T any] struct {
	input    T
	postedAt time.Time
	offered  bool // it may be shed
}

// Inbox is the queue of one loop. Its methods may be called from any goroutine.
type Inbox[T any] struct {
	now  func() time.Time
	wake chan struct{}

	mu        sync.Mutex
	closed    bool
	notFull   [classes]*sync.Cond
	queues    [classes][]item[T]
	remaining [classes]int // inputs that a class may still have taken in this round
	shed      [classes]int // since Counters was last called
}

// New returns an empty inbox that goes by a clock.
func New[T any](now func() time.Time) *Inbox[T] {
	b := &Inbox[T]{now: now, wake: make(chan struct{}, 1), remaining: weights}
	for i := range b.notFull {
		b.notFull[i] = sync.NewCond(&b.mu)
	}
	return b
}

// Post adds an answer that the core waits for. It is never shed: while its class is full, Post blocks. Once the
// inbox is closed, inputs are dropped.
func (b *Inbox[T]) Post(class Class, input T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && len(b.queues[class]) >= limits[class].length {
		b.notFull[class].Wait()
	}
	if b.closed {
		return
	}
	b.add(class, item[T]{input, b.now(), false})
}

// Close drops all inputs from now on. It is for when nobody takes them any more: calls of Post that block return.
func (b *Inbox[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, notFull := range b.notFull {
		notFull.Broadcast()
	}
}

// Offer adds a request, or returns false if it would wait for too long or the inbox is closed.
func (b *Inbox[T]) Offer(class Class, input T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	queue := b.queues[class]
	if len(queue) >= limits[class].length || len(queue) > 0 && b.expired(class, &queue[0]) {
		b.shed[class]++
		return false
	}
	b.add(class, item[T]{input, b.now(), true})
	return true
}

func (b *Inbox[T]) add(class Class, x item[T]) {
	b.queues[class] = append(b.queues[class], x)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// expired reports whether an input has waited for longer than its sender does.
func (b *Inbox[T]) expired(class Class, x *item[T]) bool {
	return b.now().Sub(x.postedAt) > limits[class].maxWait
}

// Ready has a value when an input may have come.
func (b *Inbox[T]) Ready() <-chan struct{} { return b.wake }

// Delivery is an input with how long it waited.
type Delivery[T any] struct {
	Input   T
	Waited  time.Duration
	Expired bool // its sender has given up, or is about to: it is to be shed
}

// Next takes the next input; false if there is none.
func (b *Inbox[T]) Next() (Delivery[T], bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range 2 { // the second time with a new round
		for class := range b.queues {
			if len(b.queues[class]) == 0 || b.remaining[class] == 0 {
				continue
			}
			b.remaining[class]--
			return b.take(Class(class)), true
		}
		b.remaining = weights
	}
	return Delivery[T]{}, false
}

func (b *Inbox[T]) take(class Class) Delivery[T] {
	queue := b.queues[class]
	x := queue[0]
	queue[0] = item[T]{} // the rest of the slice must not keep it alive
	b.queues[class] = queue[1:]
	if len(queue) == 1 {
		b.queues[class] = nil
	}
	b.notFull[class].Signal()
	expired := x.offered && b.expired(class, &x)
	if expired {
		b.shed[class]++
	}
	return Delivery[T]{x.input, b.now().Sub(x.postedAt), expired}
}

// Counters returns key-value pairs for the debug log: how many inputs wait, and how many were shed since
// the last call.
func (b *Inbox[T]) Counters() []any {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []any{
		"alive", len(b.queues[Liveness]),
		"workers", len(b.queues[Workers]),
		"users", len(b.queues[Users]),
		"submissions", len(b.queues[Submissions]),
		"workers_refused", b.shed[Workers],
		"users_refused", b.shed[Users],
		"submissions_refused", b.shed[Submissions],
	}
	b.shed = [classes]int{}
	return out
}
