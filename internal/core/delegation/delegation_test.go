package delegation

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// A cancellation may be confirmed once each node with a delegation has reached its revision, or the
// delegation has ended. A node that has not reached the revision of every confirmed cancellation gets
// no delegation.
func TestCancellationWaitsForDelegates(t *testing.T) {
	cfg := &config.Config{Settings: config.Settings{DelegationS: 60}}
	delegations := New(cfg, outbox.New(func(*wire.Transaction) {}), nil, nil, nil)
	at := func(s float64) { delegations.outbox.Begin(config.FromSeconds(s)) }
	grant := func(node string, revision uint64) config.Micros {
		return delegations.grant(msg.HeartbeatBatchIn{Node: node, Revision: revision})
	}
	at(1)
	if !delegations.DelegatesReached(100) {
		t.Error("a cancellation waits although there is no delegate")
	}
	if grant("", 100) != 0 || !delegations.DelegatesReached(200) {
		t.Error("a node whose version sends neither name nor revision got a delegation")
	}
	if grant("n2", 90) != 60*config.Second || grant("n3", 120) != 60*config.Second {
		t.Error("a node got no delegation")
	}
	if delegations.DelegatesReached(100) || !delegations.DelegatesReached(90) {
		t.Error("n2 has reached revision 90, but not 100")
	}
	at(30)
	if grant("n2", 101); !delegations.DelegatesReached(100) {
		t.Error("n2 has reached revision 101")
	}
	if grant("n2", 95); !delegations.DelegatesReached(100) {
		t.Error("a delayed heartbeat lowered the revision that n2 had reached")
	}
	if delegations.DelegatesReached(130) {
		t.Error("neither node has reached revision 130")
	}
	at(62) // n3's delegation has ended, n2's has not
	if delegations.DelegatesReached(130) || !delegations.DelegatesReached(101) {
		t.Error("n2's delegation has not ended")
	}
	at(91)
	if !delegations.DelegatesReached(130) {
		t.Error("all delegations have ended")
	}
	delegations.RecordConfirmedCancel(130)
	if grant("n2", 129) != 0 || !delegations.DelegatesReached(140) {
		t.Error("n2 got a delegation although it has not reached the revision of a confirmed cancellation")
	}
	if grant("n2", 130) == 0 || delegations.DelegatesReached(140) {
		t.Error("n2 got no delegation although it has reached the revision of each confirmed cancellation")
	}
	cfg.Settings.DelegationS = 0
	if grant("n3", 130) != 0 {
		t.Error("a node got a delegation although delegations are disabled")
	}
}
