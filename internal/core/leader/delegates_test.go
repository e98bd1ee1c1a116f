package leader

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// A cancellation may be told once every node that may be standing in knows of it, or may no
// longer stand in; and a node that lags behind what was told gets no word to.
func TestLeadersWord(t *testing.T) {
	l := &delegations{environment: &environment{cfg: &config.Config{Settings: config.Settings{DelegationS: 60}}, outbox: outbox.New(func(*wire.Transaction) {})}, delegates: map[string]delegate{}}
	at := func(s float64) { l.outbox.Begin(config.FromSeconds(s)) }
	beat := func(node string, revision uint64) Micros {
		return l.grantDelegation(msg.HeartbeatBatchIn{Node: node, Revision: revision})
	}
	at(1)
	if !l.cancelKnown(100) {
		t.Error("nobody may stand in, and a cancellation waits")
	}
	if beat("", 100) != 0 || !l.cancelKnown(200) {
		t.Error("a version that doesn't say what it knows got the leader's word")
	}
	if beat("n2", 90) != 60*config.Second || beat("n3", 120) != 60*config.Second {
		t.Error("no word")
	}
	if l.cancelKnown(100) || !l.cancelKnown(90) {
		t.Error("n2 knows of 90 and not of 100")
	}
	at(30)
	if beat("n2", 101); !l.cancelKnown(100) {
		t.Error("n2 has confirmed")
	}
	if beat("n2", 95); !l.cancelKnown(100) {
		t.Error("a late beat takes nothing back")
	}
	if l.cancelKnown(130) {
		t.Error("neither knows of 130")
	}
	at(62) // n3's word is over, n2's is not
	if l.cancelKnown(130) || !l.cancelKnown(101) {
		t.Error("n2 may still stand in")
	}
	at(91)
	if !l.cancelKnown(130) {
		t.Error("nobody may stand in any more")
	}
	l.acknowledgedCancel = 130
	if beat("n2", 129) != 0 || !l.cancelKnown(140) {
		t.Error("n2 doesn't know of a cancellation that was told, and got the leader's word")
	}
	if beat("n2", 130) == 0 || l.cancelKnown(140) {
		t.Error("n2 knows of all that was told, and may stand in again")
	}
	l.cfg.Settings.DelegationS = 0
	if beat("n3", 130) != 0 {
		t.Error("switched off")
	}
}
