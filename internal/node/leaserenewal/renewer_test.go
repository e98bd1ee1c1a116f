package leaserenewal

import (
	"testing"
	"time"
)

const ttl = 3 * time.Second

// The lease of a loop that is blocked for some seconds is renewed; that of a loop that stays blocked is not.
func TestRenewsForBlockedLoop(t *testing.T) {
	now := time.Unix(100, 0)
	var r Renewer
	r.Start(7, ttl, now)
	last, end := now, now.Add(maxRequestGapTTLs*ttl)
	for now.Before(end.Add(ttl)) {
		lease, in := r.Due(now)
		if lease == 0 {
			now = now.Add(in)
			continue
		}
		if now.After(end) {
			t.Fatal("lease renewed although the loop has requested nothing for too long")
		}
		if now.Sub(last) > ttl/2 {
			t.Errorf("lease not renewed for %v", now.Sub(last))
		}
		last = now
	}
	if end.Sub(last) > ttl/2 {
		t.Errorf("renewals ended %v too early", end.Sub(last))
	}
	r.Start(7, ttl, now)
	r.Stop(6)
	if lease, _ := r.Due(now.Add(ttl / 2)); lease != 7 {
		t.Error("release of another lease ended the renewals of this one")
	}
	r.Stop(7)
	if lease, _ := r.Due(now.Add(ttl)); lease != 0 {
		t.Error("lease renewed after its release")
	}
}

// While the loop requests renewals in time, no other renewals are sent.
func TestNoExtraRenewalsForResponsiveLoop(t *testing.T) {
	now := time.Unix(100, 0)
	var r Renewer
	for range 20 {
		r.Start(7, ttl, now)
		for range 8 { // the core's next request is one tick after a quarter of the TTL
			now = now.Add(100 * time.Millisecond)
			if lease, _ := r.Due(now); lease != 0 {
				t.Fatal("lease renewed in addition to the requested renewal")
			}
		}
	}
}
