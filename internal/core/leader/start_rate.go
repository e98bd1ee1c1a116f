package leader

import "coralhub/internal/config"

const (
	// startRateWindow is the time over which the rate at which jobs of a class start is measured.
	startRateWindow = 60 * config.Second
	// minStartRateTime is the minimum measuring time for which a rate is computed.
	minStartRateTime = startRateWindow / 6
)

// startRate counts starts in a sliding window of two halves.
type startRate struct {
	halfStart          Micros // when the current half began; 0 before the first start
	current, previous  int
	previousHalfLength Micros // length of the previous half
}

// add counts a start.
func (sr *startRate) add(now Micros) {
	if sr.halfStart == 0 {
		sr.halfStart = now
	}
	sr.advance(now)
	sr.current++
}

// advance begins a new half once the current one has lasted half of the window.
func (sr *startRate) advance(now Micros) {
	elapsed := now - sr.halfStart
	if sr.halfStart == 0 || elapsed < startRateWindow/2 {
		return
	}
	sr.previous = sr.current
	sr.previousHalfLength = elapsed
	sr.current = 0
	sr.halfStart = now
}

// timeToStart estimates how long n jobs take to start. It returns false if the rate is not known.
func (sr *startRate) timeToStart(now Micros, n int) (Micros, bool) {
	sr.advance(now)
	measured := now - sr.halfStart + sr.previousHalfLength
	starts := sr.current + sr.previous
	if sr.halfStart == 0 || measured < minStartRateTime || starts == 0 {
		return 0, false
	}
	return measured / Micros(starts) * Micros(n), true
}
