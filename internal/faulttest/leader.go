package faulttest

import (
	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/core/election"
	"coralhub/internal/emulator"
)

// leaderKey is the key of the leader lease in the state service.
const leaderKey = "ch/leader"

// leaderOf returns the name of the node that holds the leader lease, or "" if no node holds it or the
// record is unreadable.
func leaderOf(servers *emulator.Servers) string {
	var lease election.LeaseRecord
	var raw []byte
	servers.WithLock(func() { raw = servers.State.Get(leaderKey).Value })
	if len(raw) == 0 || msgpack.Unmarshal(raw, &lease) != nil {
		return ""
	}
	return lease.Node
}
