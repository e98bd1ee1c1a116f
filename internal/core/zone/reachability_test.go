package zone

import (
	"testing"

	"coralhub/internal/config"
)

func TestReachability(t *testing.T) {
	const lease = 26 * config.Second
	s := func(n float64) Micros { return config.FromSeconds(n) }
	var r Reachability
	// A lease that expires without an answered heartbeat, or long after one, is no evidence.
	if r.NoteLeaseExpired(s(100), lease) {
		t.Error("unreachable although no heartbeat was answered")
	}
	r.NoteAnswered(s(110))
	if r.NoteLeaseExpired(s(133), lease) || r.Unreachable() {
		t.Error("unreachable although the lease may have expired after the last response")
	}
	// A lease that expires while heartbeats are answered shows that the worker is unreachable.
	r.NoteAnswered(s(150))
	if !r.NoteLeaseExpired(s(155), lease) || !r.Unreachable() || r.Episodes != 1 {
		t.Errorf("%+v", r)
	}
	// It is probed immediately, then with exponential backoff.
	var probes []Micros
	for now := s(155); now < s(255); now += config.Second / 2 {
		if r.ProbeDue(now) {
			probes = append(probes, now)
		}
	}
	if len(probes) != 10 || probes[0] != s(155) || probes[9]-probes[8] != maxProbeInterval {
		t.Errorf("probes at %v", probes)
	}
	if r.NoteReceived(s(255)) != true || r.Unreachable() || r.Episodes != 1 || r.ProbeDue(s(300)) {
		t.Errorf("%+v", r)
	}
	// Starts that are not executed after several consecutive responses.
	for i, all := range []bool{false, false, true, false, false} {
		if r.NoteStartsExecuted(s(300+float64(i)), all) {
			t.Errorf("unreachable after response %d", i)
		}
	}
	if !r.NoteStartsExecuted(s(310), false) || r.NoteStartsExecuted(s(311), false) || r.Episodes != 2 {
		t.Errorf("%+v", r)
	}
	// An episode that ends within replyTimeout is not counted.
	if !r.NoteReceived(s(311)) || r.Episodes != 1 {
		t.Errorf("%+v", r)
	}
}
