package relay

import (
	"hash/fnv"
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

const (
	// redirectReturnWindow is the time after a redirect within which a worker that reports here again is assumed
	// to be unable to reach the node that it was redirected to.
	redirectReturnWindow = 3 * peerTimeout
	// redirectExemption is how long such a worker may report here before it is redirected again.
	redirectExemption = 20 * config.Second
)

// redirect records that a worker was redirected to another node.
type redirect struct {
	sentAt      Micros
	exemptUntil Micros // set if the worker has returned
}

// Redirect redirects a worker to the node that it should report to, and reports whether it did. It
// does not if there is no such node, if it is this one, or if the worker cannot reach it.
func (r *Relay) Redirect(in msg.HeartbeatIn) bool {
	node := r.preferredNode(&in.Heartbeat)
	if node == "" || node == r.cfg.Node {
		return false
	}
	now := r.outbox.Now()
	machine := in.Heartbeat.Machine
	last := r.redirects[machine]
	if now < last.exemptUntil {
		return false
	}
	returned := last.sentAt != 0 && now-last.sentAt < redirectReturnWindow
	if returned {
		r.redirects[machine] = redirect{exemptUntil: now + redirectExemption}
		return false
	}
	r.redirects[machine] = redirect{sentAt: now}
	r.outbox.Respond(in.RequestID, http.StatusMisdirectedRequest, wire.Redirect{Node: node})
	return true
}

// preferredNode returns the node that a worker should report to: the leader if it is alive in the
// worker's zone, or else a live node in that zone, selected by a hash of the machine's name. It
// returns an empty string if no node in the zone is alive.
func (r *Relay) preferredNode(hb *wire.Heartbeat) string {
	leader := r.elector.Holder().Node
	if r.location[leader] == hb.Zone && r.alive(leader) {
		return leader
	}
	var candidates []string
	for node, location := range r.location {
		if location == hb.Zone && r.alive(node) {
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.Sort(candidates)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(hb.Machine)) // never fails
	return candidates[int(hash.Sum32()%uint32(len(candidates)))]
}
