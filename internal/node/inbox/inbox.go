// Package inbox queues the inputs of a node's loop by class, so that inputs on which the node's liveness
// depends never wait behind requests of users. Each class has a maximum length and a maximum waiting time.
// Requests that exceed them are shed at once, which costs a hundredth of answering them.
package inbox

import (
	"sync"
	"time"
)

// Class is a priority class of inputs. Lower values are more important.
type Class int

// Classes of inputs, and what bounds the number of inputs in each.
const (
	// Liveness is for responses of the state service and the cloud to this node's requests, and for
	// heartbeat batches. It is bounded by the node's own requests and the number of nodes.
	Liveness Class = iota
	// Workers is for heartbeats, and for responses of the leader and of workers. It is bounded by the
	// number of machines and the interval of their heartbeats.
	Workers
	// Users is for polls, cancellations and operators' queries. Only the users' request rate bounds it.
	Users
	// Submissions is for new jobs and peers' updates about them.
	Submissions
	numClasses
)

// weights are the numbers of inputs of each class taken per round while all classes have inputs waiting. No class
// starves: even if all classes are backlogged, every fifteenth input is taken from the last one.
var weights = [numClasses]int{8, 4, 2, 1}

// limits are the maximum number of inputs waiting in each class, and the maximum waiting time of an offered input.
var limits = [numClasses]struct {
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
	offered  bool // added by Offer: may be shed
}

// Inbox is the input queue of one loop. Its methods are safe for concurrent use.
type Inbox[T any] struct {
	now  func() time.Time
	wake chan struct{}

	mu        sync.Mutex
	closed    bool
	notFull   [numClasses]*sync.Cond
	queues    [numClasses][]item[T]
	remaining [numClasses]int // inputs that may still be taken of each class in this round
	shed      [numClasses]int // since the last call of Counters
}

// New returns an empty inbox. now returns the current time.
func New[T any](now func() time.Time) *Inbox[T] {
	b := &Inbox[T]{now: now, wake: make(chan struct{}, 1), remaining: weights}
	for i := range b.notFull {
		b.notFull[i] = sync.NewCond(&b.mu)
	}
	return b
}

// Post adds a response that the core waits for. It is never shed: while its class is full, Post blocks. After
// Close, inputs are dropped.
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

// Close makes the inbox drop all further inputs, and ends blocked calls of Post. It is called after the
// last call of Next.
func (b *Inbox[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, notFull := range b.notFull {
		notFull.Broadcast()
	}
}

// Offer adds a request. It returns false if the class is full or its first input has expired, or if the inbox is
// closed.
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

// expired reports whether an input has waited longer than the maximum of its class, after which its sender has stopped
// waiting for the response or is about to.
func (b *Inbox[T]) expired(class Class, x *item[T]) bool {
	return b.now().Sub(x.postedAt) > limits[class].maxWait
}

// Ready returns a channel that receives a value when an input may be available.
func (b *Inbox[T]) Ready() <-chan struct{} { return b.wake }

// Delivery is an input taken from the inbox, with its waiting time.
type Delivery[T any] struct {
	Input   T
	Waited  time.Duration
	Expired bool // to be shed: its sender has stopped waiting, or is about to
}

// Next takes the next input. It returns false if there is none.
func (b *Inbox[T]) Next() (Delivery[T], bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range 2 { // the second iteration is for a new round
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
	queue[0] = item[T]{} // lets the input be garbage-collected before the rest of the slice
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

// Counters returns key-value pairs for the debug log: the number of waiting inputs by class, and of inputs shed
// since the last call.
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
	b.shed = [numClasses]int{}
	return out
}
