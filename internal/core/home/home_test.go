package home

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// nobody listens to the records or to the claim.
type nobody struct{}

func (nobody) Born(*records.Job)                           {}
func (nobody) Placed(_ *records.Job, _, _ []job.Placement) {}
func (nobody) Stored(*records.Job)                         {}
func (nobody) Recorded(*records.Job)                       {}
func (nobody) Ended(*records.Job)                          {}
func (nobody) Changed(*records.Job)                        {}
func (nobody) Freed(*records.Job)                          {}
func (nobody) Doomed(*records.Job)                         {}
func (nobody) Won()                                        {}
func (nobody) Lost(string, uint64)                         {}
func (nobody) HolderChanged(string, string)                {}

// newHome returns the home that n2 is in zone b, and the value of a claim of n1, in zone a, to lead.
// A lease has 4 s here, a cancellation 20.
func newHome(t *testing.T) (*Home, []byte) {
	t.Helper()
	cfg := &config.Config{Platform: config.Platform{Node: "n2", Location: "b", Peers: []config.Peer{{Node: "n1", Location: "a"}},
		Cluster: config.Cluster{Workers: config.Workers{ReportS: 1, LeaseS: 4, CancelS: 20}}}}
	box := outbox.New(func(*wire.Commit) {})
	replica := records.New(nobody{})
	leader := claim.New(box, "leader", "n2", config.Second, 1, nobody{})
	h := New(cfg, box, replica, records.NewForm(&cfg.Cluster.State), leader)
	raw, err := job.Encode(claim.Value{Node: "n1", Nonce: 1})
	if err != nil {
		t.Fatal(err)
	}
	return h, raw
}

// A home answers for a leader that it reaches only as long as its copy of the records is
// recent enough, or the leader has given its word: what it doesn't know may be that a job was
// cancelled. A cancellation has 20 s here, a lease 4: the copy may be 12 s old.
func TestQuietNeedsAFreshCopy(t *testing.T) {
	h, raw := newHome(t)
	h.leader.Apply(&wire.Change{Put: "leader", Value: raw, Version: 5}, true)
	// relayed has a worker without tasks report after so many seconds, and tells how: answered
	// here, or handed on.
	relayed := func(s float64) string {
		h.box.Begin(config.FromSeconds(s))
		h.PeerHeard(msg.PeerHeard{Node: "n1"})
		h.Relay(msg.ReportIn{Req: 1, Report: wire.Report{Machine: "m-1", Zone: "b", Session: 1, Token: 5}})
		for _, e := range h.box.End() {
			switch e.(type) {
			case msg.Answer:
				return "answered"
			case msg.Forward:
				h.ForwardDone(msg.ForwardDone{Req: 1, Report: wire.Report{Machine: "m-1", Zone: "b", Session: 1, Token: 5},
					Answer: &wire.ReportAnswer{Token: 5}})
				return "handed on"
			}
		}
		return "nothing"
	}
	h.replica.Current(config.FromSeconds(1))
	for _, c := range []struct {
		at   float64
		want string
	}{{2, "handed on"}, {3, "answered"}, {11, "answered"}, {12.5, "handed on"}, {12.9, "answered"}, {13, "handed on"}, {14, "handed on"}} {
		if got := relayed(c.at); got != c.want {
			t.Errorf("at %v s: %s, want %s", c.at, got, c.want)
		}
	}
	h.BeatDone(msg.BeatDone{Beat: msg.Beat{Claim: 4, Sent: config.FromSeconds(14)}, BeatAnswer: msg.BeatAnswer{StandIn: 60 * config.Second}})
	if got := relayed(15); got != "handed on" {
		t.Errorf("with the word of an earlier claim: %s", got)
	}
	h.BeatDone(msg.BeatDone{Beat: msg.Beat{Claim: 5, Sent: config.FromSeconds(14)}, BeatAnswer: msg.BeatAnswer{StandIn: 60 * config.Second}})
	if got := relayed(16); got != "answered" {
		t.Errorf("with the leader's word: %s", got)
	}
}

// A worker that has seen no token of the present reign is kept alive by the one that it has, at
// whatever age of the copy, if that copy goes up to the reign's first claim.
func TestKeepsAlive(t *testing.T) {
	for _, c := range []struct {
		name           string
		token          uint64
		revision       uint64
		listed, raised bool
		want           bool
	}{
		{"of the reign before", 5, 9, false, false, true},
		{"and the present claim was rewritten", 5, 11, false, true, true},
		{"of this reign", 9, 9, false, false, false},
		{"of this reign, before the claim was rewritten", 9, 11, false, true, false},
		{"the copy doesn't go up to the claim", 5, 8, false, false, false},
		{"a claim that may have been rewritten", 5, 9, true, false, false},
		{"a worker that has seen no token", 0, 9, false, false, false},
	} {
		h, raw := newHome(t)
		h.leader.Listed(1)
		h.leader.Apply(&wire.Change{Put: "leader", Value: raw, Version: 9}, !c.listed)
		if c.raised {
			h.leader.Apply(&wire.Change{Put: "leader", Value: raw, Version: 11}, true)
		}
		h.replica.Upto(c.revision)
		h.box.Begin(1000 * config.Second)
		got := h.KeepsAlive(msg.ReportIn{Req: 1, Report: wire.Report{Machine: "m-1", Session: 1, Token: c.token}})
		if got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if !got {
			continue
		}
		a, _ := h.box.End()[0].(msg.Answer)
		if body, ok := a.Body.(wire.ReportAnswer); !ok || body.Token != c.token {
			t.Errorf("%s: answered with %+v", c.name, a)
		}
	}
}

// Nobody shows a worker that has seen no token that of a leader which can't have read the records yet:
// it would take it to the leader before, which resigns when it sees it.
func TestNewWorkersWaitForTheLeader(t *testing.T) {
	h, raw := newHome(t)
	h.box.Begin(config.FromSeconds(10))
	h.leader.Apply(&wire.Change{Put: "leader", Value: raw, Version: 9}, true)
	h.HolderChanged("", "n1")
	h.replica.Upto(9)
	for _, c := range []struct {
		current float64
		want    int
	}{{10, 503}, {11.9, 503}, {12, 200}} {
		h.replica.Current(config.FromSeconds(c.current))
		h.box.Begin(config.FromSeconds(15))
		h.standIn(msg.ReportIn{Req: 1, Report: wire.Report{Machine: "m-1", Session: 1}}, false)
		if a, _ := h.box.End()[0].(msg.Answer); a.Status != c.want {
			t.Errorf("current at %v s: %d, want %d", c.current, a.Status, c.want)
		}
	}
}
