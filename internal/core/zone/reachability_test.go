package zone

import (
	"testing"

	"coralhub/internal/config"
)

func TestHearing(t *testing.T) {
	const lease = 26 * config.Second
	s := func(n float64) Micros { return config.FromSeconds(n) }
	var h Reachability
	// A lease that ends when nothing was answered, or long after, says nothing.
	if h.NoteLeaseExpired(s(100), lease) {
		t.Error("deaf though nothing was answered")
	}
	h.NoteAnswered(s(110))
	if h.NoteLeaseExpired(s(133), lease) || h.Unreachable() {
		t.Error("deaf though its lease may have ended with the last answer")
	}
	// One that ends while reports are answered does.
	h.NoteAnswered(s(150))
	if !h.NoteLeaseExpired(s(155), lease) || !h.Unreachable() || h.Episodes != 1 {
		t.Errorf("%+v", h)
	}
	// It is tried at once, and then less and less often.
	var tries []Micros
	for now := s(155); now < s(255); now += config.Second / 2 {
		if h.ProbeDue(now) {
			tries = append(tries, now)
		}
	}
	if len(tries) != 10 || tries[0] != s(155) || tries[9]-tries[8] != maxProbeInterval {
		t.Errorf("tries at %v", tries)
	}
	if h.NoteReceived(s(255)) != true || h.Unreachable() || h.Episodes != 1 || h.ProbeDue(s(300)) {
		t.Errorf("%+v", h)
	}
	// Starts that are not carried out, several in a row.
	for i, all := range []bool{false, false, true, false, false} {
		if h.NoteCarriedOut(s(300+float64(i)), all) {
			t.Errorf("deaf after answer %d", i)
		}
	}
	if !h.NoteCarriedOut(s(310), false) || h.NoteCarriedOut(s(311), false) || h.Episodes != 2 {
		t.Errorf("%+v", h)
	}
	// A false alarm doesn't count.
	if !h.NoteReceived(s(311)) || h.Episodes != 1 {
		t.Errorf("%+v", h)
	}
}
