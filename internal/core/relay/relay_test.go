package relay

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// noopListener listens to the records or to the claim.
type noopListener struct{}

func (noopListener) JobAdded(*records.Job)                                  {}
func (noopListener) PlacementsChanged(_ *records.Job, _, _ []job.Placement) {}
func (noopListener) PlanOutdated(*records.Job)                              {}
func (noopListener) RecordChanged(*records.Job)                             {}
func (noopListener) JobFinished(*records.Job)                               {}
func (noopListener) JobChanged(*records.Job)                                {}
func (noopListener) DependenciesMet(*records.Job)                           {}
func (noopListener) DependencyCancelled(*records.Job)                       {}
func (noopListener) OnElected()                                             {}
func (noopListener) OnDeposed(string, uint64)                               {}
func (noopListener) OnHolderChanged(string, string)                         {}

// newHome returns the home that n2 is in zone b, and the value of a claim of n1, in zone a, to lead.
// A lease has 4 s here, a cancellation 20.
func newHome(t *testing.T) (*Relay, []byte) {
	t.Helper()
	cfg := &config.Config{Platform: config.Platform{Node: "n2", Location: "b", Peers: []config.Peer{{Node: "n1", Location: "a"}},
		Cluster: config.Cluster{Workers: config.Workers{ReportS: 1, LeaseS: 4, CancelS: 20}}}}
	box := outbox.New(func(*wire.Transaction) {})
	replica := records.New(noopListener{})
	leader := election.New(box, "leader", "n2", config.Second, 1, noopListener{})
	h := New(cfg, box, replica, records.NewEncoding(&cfg.Cluster.State), leader)
	raw, err := job.Encode(election.LeaseRecord{Node: "n1", Nonce: 1})
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
	h.elector.Apply(&wire.Change{Put: "leader", Value: raw, Version: 5}, true)
	// relayed has a worker without tasks report after so many seconds, and tells how: answered
	// here, or handed on.
	relayed := func(s float64) string {
		h.outbox.Begin(config.FromSeconds(s))
		h.PeerAlive(msg.PeerAlive{Node: "n1"})
		h.HandleHeartbeat(msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m-1", Zone: "b", Incarnation: 1, FencingToken: 5}})
		for _, e := range h.outbox.End() {
			switch e.(type) {
			case msg.Respond:
				return "answered"
			case msg.Forward:
				h.ForwardDone(msg.ForwardDone{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m-1", Zone: "b", Incarnation: 1, FencingToken: 5},
					Response: &wire.HeartbeatResponse{FencingToken: 5}})
				return "handed on"
			}
		}
		return "nothing"
	}
	h.replica.NoteCurrent(config.FromSeconds(1))
	for _, c := range []struct {
		at   float64
		want string
	}{{2, "handed on"}, {3, "answered"}, {11, "answered"}, {12.5, "handed on"}, {12.9, "answered"}, {13, "handed on"}, {14, "handed on"}} {
		if got := relayed(c.at); got != c.want {
			t.Errorf("at %v s: %s, want %s", c.at, got, c.want)
		}
	}
	h.HeartbeatBatchDone(msg.HeartbeatBatchDone{Batch: msg.HeartbeatBatch{Term: 4, SentAt: config.FromSeconds(14)}, HeartbeatBatchResponse: msg.HeartbeatBatchResponse{Delegation: 60 * config.Second}})
	if got := relayed(15); got != "handed on" {
		t.Errorf("with the word of an earlier claim: %s", got)
	}
	h.HeartbeatBatchDone(msg.HeartbeatBatchDone{Batch: msg.HeartbeatBatch{Term: 5, SentAt: config.FromSeconds(14)}, HeartbeatBatchResponse: msg.HeartbeatBatchResponse{Delegation: 60 * config.Second}})
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
		h.elector.ApplyListingWithoutHolder(1)
		h.elector.Apply(&wire.Change{Put: "leader", Value: raw, Version: 9}, !c.listed)
		if c.raised {
			h.elector.Apply(&wire.Change{Put: "leader", Value: raw, Version: 11}, true)
		}
		h.replica.NoteRevision(c.revision)
		h.outbox.Begin(1000 * config.Second)
		got := h.KeepAlive(msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m-1", Incarnation: 1, FencingToken: c.token}})
		if got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if !got {
			continue
		}
		a, _ := h.outbox.End()[0].(msg.Respond)
		if body, ok := a.Body.(wire.HeartbeatResponse); !ok || body.FencingToken != c.token {
			t.Errorf("%s: answered with %+v", c.name, a)
		}
	}
}

// Nobody shows a worker that has seen no token that of a leader which can't have read the records yet:
// it would take it to the leader before, which resigns when it sees it.
func TestNewWorkersWaitForTheLeader(t *testing.T) {
	h, raw := newHome(t)
	h.outbox.Begin(config.FromSeconds(10))
	h.elector.Apply(&wire.Change{Put: "leader", Value: raw, Version: 9}, true)
	h.OnHolderChanged("", "n1")
	h.replica.NoteRevision(9)
	for _, c := range []struct {
		current float64
		want    int
	}{{10, 503}, {11.9, 503}, {12, 200}} {
		h.replica.NoteCurrent(config.FromSeconds(c.current))
		h.outbox.Begin(config.FromSeconds(15))
		h.actAsDelegate(msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m-1", Incarnation: 1}}, false)
		if a, _ := h.outbox.End()[0].(msg.Respond); a.Status != c.want {
			t.Errorf("current at %v s: %d, want %d", c.current, a.Status, c.want)
		}
	}
}
