package leader

import "coralhub/internal/config"

const (
	// startRateWindow is the time over which the rate is measured at which jobs of a class start.
	startRateWindow = 60 * config.Second
	// minStartRateTime is the least time of measurement from which a rate is computed.
	minStartRateTime = startRateWindow / 6
)

// startRate counts starts in a sliding window of two halves.
type startRate struct {
	windowStart       Micros // when the current half began; 0: nothing has started yet
	current, previous int
	previousWindow    Micros // length of the previous half
}

// add counts a start.
func (sr *startRate) add(now Micros) {
	if sr.windowStart == 0 {
		sr.windowStart = now
	}
	sr.advance(now)
	sr.current++
}

// advance begins a new half when the current one has lasted long enough.
func (sr *startRate) advance(now Micros) {
	elapsed := now - sr.windowStart
	if sr.windowStart == 0 || elapsed < startRateWindow/2 {
		return
	}
	sr.previous = sr.current
	sr.previousWindow = elapsed
	sr.current = 0
	sr.windowStart = now
}

// timeToStart estimates how long n jobs take to start; false: the rate is not known.
func (sr *startRate) timeToStart(now Micros, n int) (Micros, bool) {
	sr.advance(now)
	measured := now - sr.windowStart + sr.previousWindow
	starts := sr.current + sr.previous
	if sr.windowStart == 0 || measured < minStartRateTime || starts == 0 {
		return 0, false
	}
	return measured / Micros(starts) * Micros(n), true
}
