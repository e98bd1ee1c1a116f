package delegation

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// A cancellation may be confirmed once every node with a delegation knows of it or its delegation has
// ended; and a node that doesn't know of every confirmed cancellation gets no delegation.
func TestCancellationWaitsForDelegates(t *testing.T) {
	cfg := &config.Config{Settings: config.Settings{DelegationS: 60}}
	dg := New(cfg, outbox.New(func(*wire.Transaction) {}), nil, nil, nil)
	at := func(s float64) { dg.outbox.Begin(config.FromSeconds(s)) }
	heartbeat := func(node string, revision uint64) config.Micros {
		return dg.grant(msg.HeartbeatBatchIn{Node: node, Revision: revision})
	}
	at(1)
	if !dg.CancelKnown(100) {
		t.Error("a cancellation waits though there is no delegate")
	}
	if heartbeat("", 100) != 0 || !dg.CancelKnown(200) {
		t.Error("a node of a version that doesn't send its name and revision got a delegation")
	}
	if heartbeat("n2", 90) != 60*config.Second || heartbeat("n3", 120) != 60*config.Second {
		t.Error("a node got no delegation")
	}
	if dg.CancelKnown(100) || !dg.CancelKnown(90) {
		t.Error("n2 has reached revision 90 and not 100")
	}
	at(30)
	if heartbeat("n2", 101); !dg.CancelKnown(100) {
		t.Error("n2 has reached revision 101")
	}
	if heartbeat("n2", 95); !dg.CancelKnown(100) {
		t.Error("a late heartbeat took back the revision that n2 had reached")
	}
	if dg.CancelKnown(130) {
		t.Error("neither node has reached revision 130")
	}
	at(62) // n3's delegation has ended, n2's has not
	if dg.CancelKnown(130) || !dg.CancelKnown(101) {
		t.Error("n2's delegation has not ended")
	}
	at(91)
	if !dg.CancelKnown(130) {
		t.Error("all delegations have ended")
	}
	dg.AcknowledgeCancel(130)
	if heartbeat("n2", 129) != 0 || !dg.CancelKnown(140) {
		t.Error("n2 doesn't know of a confirmed cancellation and got a delegation")
	}
	if heartbeat("n2", 130) == 0 || dg.CancelKnown(140) {
		t.Error("n2 knows of all confirmed cancellations and got no delegation")
	}
	cfg.Settings.DelegationS = 0
	if heartbeat("n3", 130) != 0 {
		t.Error("a node got a delegation though delegations are switched off")
	}
}
