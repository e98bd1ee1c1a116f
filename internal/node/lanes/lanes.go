// Package lanes is the line of inputs in front of a node's loop, in lanes by who may fill
// them, so that what keeps a node alive never waits behind what users send. A lane has a
// length and a patience of its own: what doesn't fit, or would wait for longer than its
// sender does, is refused at once, and a refusal costs a hundredth of an answer.
package lanes

import (
	"sync"
	"time"
)

// Lane is one of the lanes, the most important first.
type Lane int

// The lanes, and who may fill each.
const (
	// Alive is for answers to what this node has asked of the state service and the cloud,
	// and for beats: bounded by what it asks and by the nodes.
	Alive Lane = iota
	// Workers is for reports, and for what leaders and workers answer: bounded by the
	// machines and by their reports' pace.
	Workers
	// Users is for polls and cancellations: bounded by nothing but users.
	Users
	// Submissions is for new jobs and word of them.
	Submissions
	count
)

// weights are how many inputs of each lane go in a round while all of them wait. None of
// the lanes starves another: even a node that is behind with everything gives a user
// every fifteenth turn at least.
var weights = [count]int{8, 4, 2, 1}

// limits are how long a lane may be, and how long what is offered to it may wait.
var limits = [count]struct {
	length   int
	patience time.Duration
}{
	Alive:       {2048, 2 * time.Second},
	Workers:     {2048, 2 * time.Second},
	Users:       {1024, time.Second},
	Submissions: {512, 2 * time.Second},
}

type item[T any] struct {
	it      T
	at      time.Time
	offered bool // and may be refused
}

// Line is the line in front of one loop.
type Line[T any] struct {
	now   func() time.Time
	mu    sync.Mutex
	room  [count]*sync.Cond
	lanes [count][]item[T]
	turn  [count]int // left in this round
	wake  chan struct{}

	refused [count]int // at once, or as too late
}

// New returns an empty line that goes by a clock.
func New[T any](now func() time.Time) *Line[T] {
	l := &Line[T]{now: now, wake: make(chan struct{}, 1), turn: weights}
	for i := range l.room {
		l.room[i] = sync.NewCond(&l.mu)
	}
	return l
}

// Post puts an answer of the outside into a lane. It is never refused, for the core waits
// for it; if there is no room, whoever has asked for more than the loop can take waits.
func (l *Line[T]) Post(lane Lane, x T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.lanes[lane]) >= limits[lane].length {
		l.room[lane].Wait()
	}
	l.put(lane, item[T]{x, l.now(), false})
}

// Offer puts an input into a lane, or returns false if it would wait for too long.
func (l *Line[T]) Offer(lane Lane, x T) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.lanes[lane]
	if len(q) >= limits[lane].length || len(q) > 0 && l.late(lane, &q[0]) {
		l.refused[lane]++
		return false
	}
	l.put(lane, item[T]{x, l.now(), true})
	return true
}

func (l *Line[T]) put(lane Lane, x item[T]) {
	l.lanes[lane] = append(l.lanes[lane], x)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// late tells whether an input has waited for longer than its sender does.
func (l *Line[T]) late(lane Lane, x *item[T]) bool {
	return l.now().Sub(x.at) > limits[lane].patience
}

// Ready is told when something may have come.
func (l *Line[T]) Ready() <-chan struct{} { return l.wake }

// Taken is what Next has found.
type Taken[T any] struct {
	Input  T
	Waited time.Duration
	Late   bool // whoever sent it has given up, or is about to: it is to be refused
}

// Next takes the next input; false: there is none.
func (l *Line[T]) Next() (Taken[T], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 2 {
		for lane := range l.lanes {
			if len(l.lanes[lane]) == 0 || l.turn[lane] == 0 {
				continue
			}
			l.turn[lane]--
			return l.take(Lane(lane)), true
		}
		l.turn = weights
	}
	return Taken[T]{}, false
}

func (l *Line[T]) take(lane Lane) Taken[T] {
	q := l.lanes[lane]
	x := q[0]
	q[0] = item[T]{} // the rest of the slice keeps nothing alive
	if l.lanes[lane] = q[1:]; len(q) == 1 {
		l.lanes[lane] = nil
	}
	l.room[lane].Signal()
	late := x.offered && l.late(lane, &x)
	if late {
		l.refused[lane]++
	}
	return Taken[T]{x.it, l.now().Sub(x.at), late}
}

// Counters tells how many inputs wait, and how many were refused or came too late since it
// was last asked. It is for the debug log.
func (l *Line[T]) Counters() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []any{"alive", len(l.lanes[Alive]), "workers", len(l.lanes[Workers]), "users", len(l.lanes[Users]), "submissions", len(l.lanes[Submissions]),
		"workers_refused", l.refused[Workers], "users_refused", l.refused[Users], "submissions_refused", l.refused[Submissions]}
	l.refused = [count]int{}
	return out
}
