package zone

import "coralhub/internal/config"

// Reachability tracks whether a worker receives the messages sent to it. Its heartbeats show that it
// is alive, not that responses and commands reach it: a link may lose packets in one direction. No new
// tasks are placed on a worker that is considered unreachable. Any evidence that it has received a
// message makes it reachable again.
type Reachability struct {
	UnreachableSince Micros // since when it is considered unreachable, 0 if it is reachable
	Episodes         int    // number of times that it became unreachable, see NoteReceived

	answeredAt    Micros // when a heartbeat of the current incarnation was last answered
	missedReplies int    // consecutive responses with starts that the next heartbeat did not report
	nextProbeAt   Micros
	probeInterval Micros
}

const (
	// maxMissedReplies is the number of consecutive missed responses after which a worker is considered
	// unreachable. Single responses may be lost or late.
	maxMissedReplies = 3
	// replyTimeout is how long a worker waits for the response to a heartbeat.
	replyTimeout = 4 * config.Second
	// firstProbeInterval and maxProbeInterval bound the time between the calls that probe whether an
	// unreachable worker is reachable again.
	firstProbeInterval = config.Second
	maxProbeInterval   = 16 * config.Second
	// MaxUnreachableEpisodes is the number of episodes after which a machine is released as soon as it
	// is idle.
	MaxUnreachableEpisodes = 3
)

// Unreachable reports whether the worker is considered unreachable.
func (r *Reachability) Unreachable() bool { return r.UnreachableSince != 0 }

// NoteAnswered records that a heartbeat has been answered at the given time.
func (r *Reachability) NoteAnswered(now Micros) { r.answeredAt = now }

// NoteLeaseExpired records that the worker has begun another incarnation. If a response should have
// renewed its lease, of the given duration, in time, the worker has not received the response. It
// returns whether the worker has become unreachable.
func (r *Reachability) NoteLeaseExpired(now, lease Micros) bool {
	early := r.answeredAt != 0 && now < r.answeredAt-replyTimeout+lease
	r.answeredAt = 0
	r.missedReplies = 0
	return early && r.markUnreachable(now)
}

// NoteStartsExecuted records whether the heartbeat after a response with starts reports all of them. It
// returns whether the worker has become unreachable.
func (r *Reachability) NoteStartsExecuted(now Micros, all bool) bool {
	if all {
		r.missedReplies = 0
		return false
	}
	r.missedReplies++
	return r.missedReplies >= maxMissedReplies && r.markUnreachable(now)
}

// markUnreachable begins an episode of unreachability. It returns false if one has already begun.
func (r *Reachability) markUnreachable(now Micros) bool {
	if r.Unreachable() {
		return false
	}
	r.UnreachableSince = now
	r.nextProbeAt = now
	r.probeInterval = firstProbeInterval
	r.Episodes++
	return true
}

// NoteReceived records that the worker has received a message. It returns whether the worker was considered
// unreachable before. An episode that the first call ends, within replyTimeout, is not counted, because
// heartbeats delayed by a network partition have the same symptoms.
func (r *Reachability) NoteReceived(now Micros) bool {
	wasUnreachable := r.Unreachable()
	if wasUnreachable && now-r.UnreachableSince < replyTimeout {
		r.Episodes--
	}
	r.UnreachableSince = 0
	r.missedReplies = 0
	return wasUnreachable
}

// ProbeDue reports whether it is time to probe an unreachable worker, and schedules the next probe
// with exponential backoff if so.
func (r *Reachability) ProbeDue(now Micros) bool {
	if !r.Unreachable() || now < r.nextProbeAt {
		return false
	}
	r.nextProbeAt = now + r.probeInterval
	r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
	return true
}
