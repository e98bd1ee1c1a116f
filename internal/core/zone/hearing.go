package zone

import "coralhub/internal/config"

// Hearing is what is known of whether a worker gets what it is sent. Its reports tell that it
// lives, not that answers and commands reach it: a link may lose packets one way. One that seems
// deaf gets no new work; whatever shows that it has got something makes it hear again.
type Hearing struct {
	Since Micros // since when it seems deaf; 0: it hears
	Times int    // how often it has seemed so

	answered Micros // when a report of the present session was last answered
	missed   int    // answers in a row that asked for starts which the next report doesn't show
	tryAt    Micros
	pause    Micros
}

const (
	// missedStarts is after how many answers in a row that were not followed a worker seems
	// deaf. One alone is lost, or comes too late, now and then.
	missedStarts = 3
	// answerTime is how long a worker waits for an answer.
	answerTime = 4 * config.Second
	// firstTry and mostPause are between calls that try whether it hears.
	firstTry  = config.Second
	mostPause = 16 * config.Second
	// MostDeaf is how often a machine may seem deaf before it goes back as soon as it is
	// idle.
	MostDeaf = 3
)

// Deaf tells whether the worker seems to be.
func (h *Hearing) Deaf() bool { return h.Since != 0 }

// Answered notes that a report has been answered.
func (h *Hearing) Answered(now Micros) { h.answered = now }

// LeaseEnded hears that the worker has begun another session. If it should have had an answer in
// time, it hasn't got it. It returns whether the worker seems deaf from now on.
func (h *Hearing) LeaseEnded(now, lease Micros) bool {
	early := h.answered != 0 && now < h.answered-answerTime+lease
	h.answered, h.missed = 0, 0
	return early && h.deaf(now)
}

// Followed hears whether the report after an answer that asked for starts shows them. It returns
// whether the worker seems deaf from now on.
func (h *Hearing) Followed(now Micros, all bool) bool {
	if all {
		h.missed = 0
		return false
	}
	h.missed++
	return h.missed >= missedStarts && h.deaf(now)
}

func (h *Hearing) deaf(now Micros) bool {
	if h.Deaf() {
		return false
	}
	h.Since, h.tryAt, h.pause = now, now, firstTry
	h.Times++
	return true
}

// Hears notes that the worker has got something. It returns whether it seemed deaf. What the
// first call disproves doesn't count: reports that a cut has held back look like that.
func (h *Hearing) Hears(now Micros) bool {
	was := h.Deaf()
	if was && now-h.Since < answerTime {
		h.Times--
	}
	h.Since, h.missed = 0, 0
	return was
}

// Try tells whether it is time to try whether the worker hears.
func (h *Hearing) Try(now Micros) bool {
	if !h.Deaf() || now < h.tryAt {
		return false
	}
	h.tryAt = now + h.pause
	h.pause = min(2*h.pause, mostPause)
	return true
}
