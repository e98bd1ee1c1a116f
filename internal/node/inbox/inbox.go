// Package inbox is the line of inputs in front of a node's loop, in lanes by who may fill
// them, so that what keeps a node alive never waits behind what users send. A lane has a
// length and a patience of its own: what doesn't fit, or would wait for longer than its
// sender does, is refused at once, and a refusal costs a hundredth of an answer.
package inbox

import (
	"sync"
	"time"
)

// Class is one of the lanes, the most important first.
type Class int

// The lanes, and who may fill each.
const (
	// Liveness is for answers to what this node has asked of the state service and the cloud,
	// and for beats: bounded by what it asks and by the nodes.
	Liveness Class = iota
	// Workers is for reports, and for what leaders and workers answer: bounded by the
	// machines and by their reports' pace.
	Workers
	// Users is for polls and cancellations: bounded by nothing but users.
	Users
	// Submissions is for new jobs and word of them.
	Submissions
	classes
)

// weights are how many inputs of each lane go in a round while all of them wait. None of
// the lanes starves another: even a node that is behind with everything gives a user
// every fifteenth turn at least.
var weights = [classes]int{8, 4, 2, 1}

// maxWaiting are how long a lane may be, and how long what is offered to it may wait.
var maxWaiting = [classes]struct {
	length   int
	patience time.Duration
}{
	Liveness:    {2048, 2 * time.Second},
	Workers:     {2048, 2 * time.Second},
	Users:       {1024, time.Second},
	Submissions: {512, 2 * time.Second},
}

type item[T any] struct {
	input    T
	postedAt time.Time
	offered  bool // and may be refused
}

// Inbox is the line in front of one loop.
type Inbox[T any] struct {
	now       func() time.Time
	mu        sync.Mutex
	room      [classes]*sync.Cond
	queues    [classes][]item[T]
	nextClass [classes]int // left in this round
	wake      chan struct{}

	shed [classes]int // at once, or as too late
}

// New returns an empty line that goes by a clock.
func New[T any](now func() time.Time) *Inbox[T] {
	l := &Inbox[T]{now: now, wake: make(chan struct{}, 1), nextClass: weights}
	for i := range l.room {
		l.room[i] = sync.NewCond(&l.mu)
	}
	return l
}

// Post puts an answer of the outside into a lane. It is never refused, for the core waits
// for it; if there is no room, whoever has asked for more than the loop can take waits.
func (l *Inbox[T]) Post(lane Class, x T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queues[lane]) >= maxWaiting[lane].length {
		l.room[lane].Wait()
	}
	l.put(lane, item[T]{x, l.now(), false})
}

// Offer puts an input into a lane, or returns false if it would wait for too long.
func (l *Inbox[T]) Offer(lane Class, x T) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[lane]
	if len(q) >= maxWaiting[lane].length || len(q) > 0 && l.late(lane, &q[0]) {
		l.shed[lane]++
		return false
	}
	l.put(lane, item[T]{x, l.now(), true})
	return true
}

func (l *Inbox[T]) put(lane Class, x item[T]) {
	l.queues[lane] = append(l.queues[lane], x)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// late tells whether an input has waited for longer than its sender does.
func (l *Inbox[T]) late(lane Class, x *item[T]) bool {
	return l.now().Sub(x.postedAt) > maxWaiting[lane].patience
}

// Ready is told when something may have come.
func (l *Inbox[T]) Ready() <-chan struct{} { return l.wake }

// Delivery is what Next has found.
type Delivery[T any] struct {
	Input  T
	Waited time.Duration
	Late   bool // whoever sent it has given up, or is about to: it is to be refused
}

// Next takes the next input; false: there is none.
func (l *Inbox[T]) Next() (Delivery[T], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 2 {
		for lane := range l.queues {
			if len(l.queues[lane]) == 0 || l.nextClass[lane] == 0 {
				continue
			}
			l.nextClass[lane]--
			return l.take(Class(lane)), true
		}
		l.nextClass = weights
	}
	return Delivery[T]{}, false
}

func (l *Inbox[T]) take(lane Class) Delivery[T] {
	q := l.queues[lane]
	x := q[0]
	q[0] = item[T]{} // the rest of the slice keeps nothing alive
	if l.queues[lane] = q[1:]; len(q) == 1 {
		l.queues[lane] = nil
	}
	l.room[lane].Signal()
	late := x.offered && l.late(lane, &x)
	if late {
		l.shed[lane]++
	}
	return Delivery[T]{x.input, l.now().Sub(x.postedAt), late}
}

// Counters tells how many inputs wait, and how many were refused or came too late since it
// was last asked. It is for the debug log.
func (l *Inbox[T]) Counters() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []any{"alive", len(l.queues[Liveness]), "workers", len(l.queues[Workers]), "users", len(l.queues[Users]), "submissions", len(l.queues[Submissions]),
		"workers_refused", l.shed[Workers], "users_refused", l.shed[Users], "submissions_refused", l.shed[Submissions]}
	l.shed = [classes]int{}
	return out
}
