package zone

import (
	"testing"

	"coralhub/internal/config"
)

func TestHearing(t *testing.T) {
	const lease = 26 * config.Second
	s := func(n float64) Micros { return config.FromSeconds(n) }
	var h Hearing
	// A lease that ends when nothing was answered, or long after, says nothing.
	if h.LeaseEnded(s(100), lease) {
		t.Error("deaf though nothing was answered")
	}
	h.Answered(s(110))
	if h.LeaseEnded(s(133), lease) || h.Deaf() {
		t.Error("deaf though its lease may have ended with the last answer")
	}
	// One that ends while reports are answered does.
	h.Answered(s(150))
	if !h.LeaseEnded(s(155), lease) || !h.Deaf() || h.Times != 1 {
		t.Errorf("%+v", h)
	}
	// It is tried at once, and then less and less often.
	var tries []Micros
	for now := s(155); now < s(255); now += config.Second / 2 {
		if h.Try(now) {
			tries = append(tries, now)
		}
	}
	if len(tries) != 10 || tries[0] != s(155) || tries[9]-tries[8] != mostPause {
		t.Errorf("tries at %v", tries)
	}
	if h.Hears(s(255)) != true || h.Deaf() || h.Times != 1 || h.Try(s(300)) {
		t.Errorf("%+v", h)
	}
	// Starts that are not carried out, several in a row.
	for i, all := range []bool{false, false, true, false, false} {
		if h.Followed(s(300+float64(i)), all) {
			t.Errorf("deaf after answer %d", i)
		}
	}
	if !h.Followed(s(310), false) || h.Followed(s(311), false) || h.Times != 2 {
		t.Errorf("%+v", h)
	}
	// A false alarm doesn't count.
	if !h.Hears(s(311)) || h.Times != 1 {
		t.Errorf("%+v", h)
	}
}
