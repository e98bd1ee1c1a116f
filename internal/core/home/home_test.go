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
func (nobody) Passed(string, string)                       {}

// A home answers for a leader that it reaches only as long as its copy of the records is
// recent enough, or the leader has given its word: what it doesn't know may be that a job was
// cancelled. A cancellation has 20 s here, a lease 4: the copy may be 12 s old.
func TestQuietNeedsAFreshCopy(t *testing.T) {
	cfg := &config.Config{Platform: config.Platform{Node: "n2", Location: "b", Peers: []config.Peer{{Node: "n1", Location: "a"}},
		Cluster: config.Cluster{Workers: config.Workers{ReportS: 1, LeaseS: 4, CancelS: 20}}}}
	box := outbox.New(func(*wire.Commit) {})
	book := records.New(nobody{})
	leader := claim.New(box, "leader", "n2", config.Second, 1, nobody{})
	h := New(cfg, box, book, records.NewForm(&cfg.Cluster.State), leader)
	raw, err := job.Encode(claim.Value{Node: "n1", Nonce: 1})
	if err != nil {
		t.Fatal(err)
	}
	leader.Apply(&wire.Change{Put: "leader", Value: raw, Version: 5})
	// relayed has a worker without tasks report after so many seconds, and tells how: answered
	// here, or handed on.
	relayed := func(s float64) string {
		box.Begin(config.FromSeconds(s))
		h.PeerHeard(msg.PeerHeard{Node: "n1"})
		h.Relay(msg.ReportIn{Req: 1, Report: wire.Report{Machine: "m-1", Zone: "b", Session: 1, Token: 5}})
		for _, e := range box.End() {
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
	book.Current(config.FromSeconds(1))
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
