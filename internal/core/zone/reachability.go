package zone

import "coralhub/internal/config"

// Reachability is what is known about whether a worker receives what it is sent. Its heartbeats show
// that it is alive, not that responses and commands reach it: a link may lose packets in one
// direction. A worker that seems unreachable gets no new tasks. Any sign that it has received
// something makes it reachable again.
type Reachability struct {
	UnreachableSince Micros // since when it seems unreachable; 0: it is reachable
	Episodes         int    // how often it has seemed unreachable

	answeredAt    Micros // when a heartbeat of the current incarnation was last answered
	missedReplies int    // responses in a row with starts that the next heartbeat did not show
	nextProbeAt   Micros
	probeInterval Micros
}

const (
	// maxMissedReplies is the number of missed responses in a row after which a worker seems
	// unreachable. A single one is lost, or late, now and then.
	maxMissedReplies = 3
	// replyTimeout is how long a worker waits for a response.
	replyTimeout = 4 * config.Second
	// firstProbeInterval and maxProbeInterval bound the time between the calls that probe whether an
	// unreachable worker is reachable again.
	firstProbeInterval = config.Second
	maxProbeInterval   = 16 * config.Second
	// MaxUnreachableEpisodes is how often a machine may seem unreachable before it is given back as
	// soon as it is idle.
	MaxUnreachableEpisodes = 3
)

// Unreachable reports whether the worker seems unreachable.
func (r *Reachability) Unreachable() bool { return r.UnreachableSince != 0 }

// NoteAnswered records that a heartbeat has been answered.
func (r *Reachability) NoteAnswered(now Micros) { r.answeredAt = now }

// NoteLeaseExpired records that the worker has begun another incarnation. If its lease, of the given
// duration, should have been renewed by a response in time, the worker has not received it. It
// returns whether the worker has become unreachable.
func (r *Reachability) NoteLeaseExpired(now, lease Micros) bool {
	early := r.answeredAt != 0 && now < r.answeredAt-replyTimeout+lease
	r.answeredAt = 0
	r.missedReplies = 0
	return early && r.markUnreachable(now)
}

// NoteCarriedOut records whether the heartbeat after a response with starts shows all of them. It
// returns whether the worker has become unreachable.
func (r *Reachability) NoteCarriedOut(now Micros, all bool) bool {
	if all {
		r.missedReplies = 0
		return false
	}
	r.missedReplies++
	return r.missedReplies >= maxMissedReplies && r.markUnreachable(now)
}

// markUnreachable begins an episode. It returns false if there is one already.
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

// NoteReceived records that the worker has received something. It returns whether the worker seemed
// unreachable before. An episode that the first call disproves does not count: heartbeats that were
// held back by a network partition look the same.
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
