package zone

import "coralhub/internal/config"

// Reachability is what is known of whether a worker gets what it is sent. Its reports tell that it
// lives, not that answers and commands reach it: a link may lose packets one way. One that seems
// deaf gets no new work; whatever shows that it has got something makes it hear again.
type Reachability struct {
	UnreachableSince Micros // since when it seems deaf; 0: it hears
	Episodes         int    // how often it has seemed so

	answeredAt    Micros // when a report of the present session was last answered
	missedReplies int    // answers in a row that asked for starts which the next report doesn't show
	nextProbeAt   Micros
	probeInterval Micros
}

const (
	// maxMissedReplies is after how many answers in a row that were not followed a worker seems
	// deaf. One alone is lost, or comes too late, now and then.
	maxMissedReplies = 3
	// replyTimeout is how long a worker waits for an answer.
	replyTimeout = 4 * config.Second
	// firstProbeInterval and mostPause are between calls that try whether it hears.
	firstProbeInterval = config.Second
	maxProbeInterval   = 16 * config.Second
	// MaxUnreachableEpisodes is how often a machine may seem deaf before it goes back as soon as it is
	// idle.
	MaxUnreachableEpisodes = 3
)

// Unreachable tells whether the worker seems to be.
func (h *Reachability) Unreachable() bool { return h.UnreachableSince != 0 }

// NoteAnswered notes that a report has been answered.
func (h *Reachability) NoteAnswered(now Micros) { h.answeredAt = now }

// NoteLeaseExpired hears that the worker has begun another session. If it should have had an answer in
// time, it hasn't got it. It returns whether the worker seems deaf from now on.
func (h *Reachability) NoteLeaseExpired(now, lease Micros) bool {
	early := h.answeredAt != 0 && now < h.answeredAt-replyTimeout+lease
	h.answeredAt, h.missedReplies = 0, 0
	return early && h.markUnreachable(now)
}

// NoteCarriedOut hears whether the report after an answer that asked for starts shows them. It returns
// whether the worker seems deaf from now on.
func (h *Reachability) NoteCarriedOut(now Micros, all bool) bool {
	if all {
		h.missedReplies = 0
		return false
	}
	h.missedReplies++
	return h.missedReplies >= maxMissedReplies && h.markUnreachable(now)
}

func (h *Reachability) markUnreachable(now Micros) bool {
	if h.Unreachable() {
		return false
	}
	h.UnreachableSince, h.nextProbeAt, h.probeInterval = now, now, firstProbeInterval
	h.Episodes++
	return true
}

// NoteReceived notes that the worker has got something. It returns whether it seemed deaf. What the
// first call disproves doesn't count: reports that a cut has held back look like that.
func (h *Reachability) NoteReceived(now Micros) bool {
	was := h.Unreachable()
	if was && now-h.UnreachableSince < replyTimeout {
		h.Episodes--
	}
	h.UnreachableSince, h.missedReplies = 0, 0
	return was
}

// ProbeDue tells whether it is time to try whether the worker hears.
func (h *Reachability) ProbeDue(now Micros) bool {
	if !h.Unreachable() || now < h.nextProbeAt {
		return false
	}
	h.nextProbeAt = now + h.probeInterval
	h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
	return true
}
