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

// noopListener implements the listeners of records and of elections and ignores all events.
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

// newRelay returns the Relay of node n2 in zone b, and the value of the leader key if n1 in zone a is
// the leader. A worker's lease is 4 s here, and a cancellation may take 20 s.
func newRelay(t *testing.T) (*Relay, []byte) {
	t.Helper()
	cfg := &config.Config{Platform: config.Platform{
		Node:     "n2",
		Location: "b",
		Peers:    []config.Peer{{Node: "n1", Location: "a"}},
		Cluster:  config.Cluster{Workers: config.Workers{ReportS: 1, LeaseS: 4, CancelS: 20}},
	}}
	out := outbox.New(func(*wire.Transaction) {})
	replica := records.New(noopListener{})
	elector := election.New(out, "leader", "n2", config.Second, 1, noopListener{})
	r := New(cfg, out, replica, records.NewEncoding(&cfg.Cluster.State), elector)
	leaderValue, err := job.Encode(election.LeaseRecord{Node: "n1", Nonce: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r, leaderValue
}

// A node answers on behalf of a reachable leader only while its replica is recent enough or it has a
// delegation, because an old replica may lack a cancellation. Here a cancellation may take 20 s, a
// worker's lease is 4 s and replicaAgeMargin is 4 s, so the replica may be 12 s old.
func TestAnsweringRequiresFreshReplica(t *testing.T) {
	r, leaderValue := newRelay(t)
	r.elector.Apply(&wire.Change{Put: "leader", Value: leaderValue, Version: 5}, true)
	// heartbeatAt sends a worker's heartbeat without tasks after the given seconds, and returns how
	// it was handled.
	heartbeatAt := func(seconds float64) string {
		r.outbox.Begin(config.FromSeconds(seconds))
		r.PeerAlive(msg.PeerAlive{Node: "n1"})
		r.HandleHeartbeat(msg.HeartbeatIn{
			RequestID: 1,
			Heartbeat: wire.Heartbeat{Machine: "m-1", Zone: "b", Incarnation: 1, FencingToken: 5},
		})
		for _, e := range r.outbox.End() {
			switch e.(type) {
			case msg.Respond:
				return "answered"
			case msg.Forward:
				r.ForwardDone(msg.ForwardDone{
					RequestID: 1,
					Heartbeat: wire.Heartbeat{Machine: "m-1", Zone: "b", Incarnation: 1, FencingToken: 5},
					Response:  &wire.HeartbeatResponse{FencingToken: 5},
				})
				return "forwarded"
			}
		}
		return "nothing"
	}
	r.replica.NoteCurrent(config.FromSeconds(1))
	for _, c := range []struct {
		at   float64
		want string
	}{
		{2, "forwarded"},
		{3, "answered"},
		{11, "answered"},
		{12.5, "forwarded"},
		{12.9, "answered"},
		{13, "forwarded"},
		{14, "forwarded"},
	} {
		if got := heartbeatAt(c.at); got != c.want {
			t.Errorf("at %v s: %s, want %s", c.at, got, c.want)
		}
	}
	r.HeartbeatBatchDone(msg.HeartbeatBatchDone{
		Batch:                  msg.HeartbeatBatch{Term: 4, SentAt: config.FromSeconds(14)},
		HeartbeatBatchResponse: msg.HeartbeatBatchResponse{Delegation: 60 * config.Second},
	})
	if got := heartbeatAt(15); got != "forwarded" {
		t.Errorf("with a delegation of an earlier leader: %s", got)
	}
	r.HeartbeatBatchDone(msg.HeartbeatBatchDone{
		Batch:                  msg.HeartbeatBatch{Term: 5, SentAt: config.FromSeconds(14)},
		HeartbeatBatchResponse: msg.HeartbeatBatchResponse{Delegation: 60 * config.Second},
	})
	if got := heartbeatAt(16); got != "answered" {
		t.Errorf("with a delegation: %s", got)
	}
}

// A worker that has received no token of the current term is kept alive under the token that it has
// received, however old the replica is, if the replica reaches the start of the term.
func TestKeepAlive(t *testing.T) {
	for _, c := range []struct {
		name             string
		token            uint64
		revision         uint64
		listed, replaced bool
		want             bool
	}{
		{"token of the previous term", 5, 9, false, false, true},
		{"token of the previous term, and the current token was replaced", 5, 11, false, true, true},
		{"token of this term", 9, 9, false, false, false},
		{"token of this term that was replaced", 9, 11, false, true, false},
		{"replica does not reach the start of the term", 5, 8, false, false, false},
		{"start of the term is unknown", 5, 9, true, false, false},
		{"worker has received no token", 0, 9, false, false, false},
	} {
		r, leaderValue := newRelay(t)
		r.elector.ApplyListingWithoutHolder(1)
		r.elector.Apply(&wire.Change{Put: "leader", Value: leaderValue, Version: 9}, !c.listed)
		if c.replaced {
			r.elector.Apply(&wire.Change{Put: "leader", Value: leaderValue, Version: 11}, true)
		}
		r.replica.NoteRevision(c.revision)
		r.outbox.Begin(1000 * config.Second)
		got := r.KeepAlive(msg.HeartbeatIn{
			RequestID: 1,
			Heartbeat: wire.Heartbeat{Machine: "m-1", Incarnation: 1, FencingToken: c.token},
		})
		if got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if !got {
			continue
		}
		response, _ := r.outbox.End()[0].(msg.Respond)
		if body, ok := response.Body.(wire.HeartbeatResponse); !ok || body.FencingToken != c.token {
			t.Errorf("%s: answered with %+v", c.name, response)
		}
	}
}

// A worker that has received no token is not sent the token of a leader that cannot have read the
// records yet: the worker would report it to the previous leader, which would then resign.
func TestNewWorkersWaitUntilLeaderCaughtUp(t *testing.T) {
	r, leaderValue := newRelay(t)
	r.outbox.Begin(config.FromSeconds(10))
	r.elector.Apply(&wire.Change{Put: "leader", Value: leaderValue, Version: 9}, true)
	r.OnHolderChanged("", "n1")
	r.replica.NoteRevision(9)
	for _, c := range []struct {
		current float64
		want    int
	}{{10, 503}, {11.9, 503}, {12, 200}} {
		r.replica.NoteCurrent(config.FromSeconds(c.current))
		r.outbox.Begin(config.FromSeconds(15))
		r.actAsDelegate(msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m-1", Incarnation: 1}}, false)
		if response, _ := r.outbox.End()[0].(msg.Respond); response.Status != c.want {
			t.Errorf("current at %v s: %d, want %d", c.current, response.Status, c.want)
		}
	}
}

// A relay answers under the token that the leader has raised for a worker, but not under one that may be a later
// leader's, which it has not heard of.
func TestRelayKeepsRaisedTokenOfWorker(t *testing.T) {
	for _, c := range []struct {
		name            string
		token           uint64 // of the worker
		wantDelegate    uint64 // token of the answer while the leader is unreachable, 0 if there is none
		wantUnforwarded bool   // whether a repeated heartbeat is answered while the leader is reachable
	}{
		{"token of the election", 9, 9, true},
		{"raised token", 15, 15, true},
		{"token above the replica", 25, 0, false},
	} {
		r, leaderValue := newRelay(t)
		r.outbox.Begin(config.FromSeconds(10))
		r.elector.Apply(&wire.Change{Put: "leader", Value: leaderValue, Version: 9}, true)
		r.leaderResponded = true
		r.replica.NoteRevision(20)
		r.replica.NoteCurrent(config.FromSeconds(10))
		in := msg.HeartbeatIn{
			RequestID: 1,
			Heartbeat: wire.Heartbeat{Machine: "m-1", Zone: "b", Incarnation: 1, FencingToken: c.token},
		}
		r.ForwardDone(msg.ForwardDone{RequestID: 1, Heartbeat: in.Heartbeat})
		response, _ := r.outbox.End()[0].(msg.Respond)
		body, _ := response.Body.(wire.HeartbeatResponse)
		if body.FencingToken != c.wantDelegate {
			t.Errorf("%s: answered with %+v", c.name, response)
		}

		r.outbox.Begin(config.FromSeconds(10))
		answer := &wire.HeartbeatResponse{FencingToken: c.token}
		r.ForwardDone(msg.ForwardDone{RequestID: 1, Heartbeat: in.Heartbeat, Response: answer})
		r.PeerAlive(msg.PeerAlive{Node: "n1"})
		r.HandleHeartbeat(in)
		effects := r.outbox.End()
		response, answered := effects[len(effects)-1].(msg.Respond)
		body, _ = response.Body.(wire.HeartbeatResponse)
		if answered != c.wantUnforwarded || answered && body.FencingToken != c.token {
			t.Errorf("%s: a repeated heartbeat leads to %+v", c.name, effects[len(effects)-1])
		}
	}
}
