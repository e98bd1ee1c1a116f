package leaserenewal

import (
	"testing"
	"time"
)

const ttl = 3 * time.Second

// A loop that is stuck for some seconds keeps its lease, one that is stuck for good doesn't.
func TestRenewsForABusyLoop(t *testing.T) {
	now := time.Unix(100, 0)
	var r Renewer
	r.Adopt(7, ttl, now)
	last, end := now, now.Add(maxSilenceTTLs*ttl)
	for now.Before(end.Add(ttl)) {
		lease, in := r.Due(now)
		if lease == 0 {
			now = now.Add(in)
			continue
		}
		if now.After(end) {
			t.Fatal("renewed for a loop that asks for nothing")
		}
		if now.Sub(last) > ttl/2 {
			t.Errorf("not renewed for %v", now.Sub(last))
		}
		last = now
	}
	if end.Sub(last) > ttl/2 {
		t.Errorf("given up %v early", end.Sub(last))
	}
	r.Adopt(7, ttl, now)
	r.Release(6)
	if lease, _ := r.Due(now.Add(ttl / 2)); lease != 7 {
		t.Error("another lease's end ended this one")
	}
	r.Release(7)
	if lease, _ := r.Due(now.Add(ttl)); lease != 0 {
		t.Error("renewed after it was dropped")
	}
}

// A loop that keeps up renews by itself alone: no request is added.
func TestAddsNoRenewalsToALoopThatKeepsUp(t *testing.T) {
	now := time.Unix(100, 0)
	var r Renewer
	for range 20 {
		r.Adopt(7, ttl, now)
		for range 8 { // the core's next request is a tick after a quarter
			now = now.Add(100 * time.Millisecond)
			if lease, _ := r.Due(now); lease != 0 {
				t.Fatal("renewed twice")
			}
		}
	}
}
