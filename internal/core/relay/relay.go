// Package relay serves workers on behalf of a leader on another node.
//
// A worker reports to a node in its own zone. A heartbeat with new information for the leader, or in
// response to which the leader may send commands, is forwarded. One that repeats what the leader has
// acknowledged, while the records require nothing of the worker, is answered by this node, which
// reports such heartbeats to the leader in batches. If the leader is unreachable, as in a network
// partition between zones, this node acts as its delegate and relays heartbeats through the
// state service.
//
// In both cases the node relies on its replica of the records; see replicaFresh for how old the
// replica may be. A node that is not the leader stops the tasks of cancelled jobs, but sends no
// commands to start or forget tasks: only the leader determines which starts may still take effect.
package relay

import (
	"maps"
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const millisecond = config.Second / 1000

const (
	// peerTimeout is how long after its last response another node is considered unreachable.
	peerTimeout = 2500 * millisecond
	// maxTrackedWorkers is the number of workers in a map above which its stale entries are deleted,
	// and above which no more heartbeats are queued.
	maxTrackedWorkers = 1000
)

// Relay serves the workers that report to one node.
type Relay struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	encoding *records.Encoding
	elector  *election.Elector

	location        map[string]string // zone of each node
	peerRespondedAt map[string]Micros // when each other node last responded
	redirects       map[string]redirect

	acked       map[string]ackedHeartbeat // by machine
	pendingAcks []msg.HeartbeatAck        // heartbeats answered on behalf of the leader since the last batch
	nextBatchAt Micros
	delegation  delegation

	leaderChangedAt Micros // when this node first observed the current leader
	leaderResponded bool   // whether that node has responded as the leader since then

	queued       map[string]RelayedHeartbeat // to be written to the state service, by machine
	written      map[string]RelayedHeartbeat // what was written last, by machine
	writePending bool
	nextWriteAt  Micros
}

// New returns the Relay of a node.
func New(
	cfg *config.Config, out *outbox.Outbox, replica *records.Replica, encoding *records.Encoding,
	elector *election.Elector,
) *Relay {
	r := &Relay{
		cfg:             cfg,
		outbox:          out,
		replica:         replica,
		encoding:        encoding,
		elector:         elector,
		location:        map[string]string{cfg.Node: cfg.Location},
		peerRespondedAt: map[string]Micros{},
		redirects:       map[string]redirect{},
		acked:           map[string]ackedHeartbeat{},
		queued:          map[string]RelayedHeartbeat{},
		written:         map[string]RelayedHeartbeat{},
	}
	for _, peer := range cfg.Peers {
		r.location[peer.Node] = peer.Location
	}
	return r
}

// Tick does the periodic work of the relay. isLeader is set if this node is a leader that is ready.
func (r *Relay) Tick(isLeader bool) {
	r.expireWorkers()
	r.sendBatch(isLeader)
	r.writeQueued()
}

// OnHolderChanged is called when the leader key was written.
func (r *Relay) OnHolderChanged(from, to string) {
	if from != to {
		r.peerRespondedAt[to] = r.outbox.Now()
		r.leaderChangedAt = r.outbox.Now()
		r.leaderResponded = false
	}
	clear(r.written) // a new leader ignores heartbeats that were written before its term
}

// PeerAlive records that another node has responded.
func (r *Relay) PeerAlive(peer msg.PeerAlive) { r.peerRespondedAt[peer.Node] = r.outbox.Now() }

// alive reports whether a node is this one or has responded within peerTimeout.
func (r *Relay) alive(node string) bool {
	return node == r.cfg.Node || r.outbox.Now()-r.peerRespondedAt[node] <= peerTimeout
}

// HandleHeartbeat handles a worker's heartbeat while another node is the leader.
func (r *Relay) HandleHeartbeat(in msg.HeartbeatIn) {
	hb := &in.Heartbeat
	leader := r.elector.Holder()
	switch {
	case r.Redirect(in):
	case !r.alive(leader.Node) && r.knowsToken(hb.FencingToken):
		r.actAsDelegate(in, true)
	case r.unchanged(hb):
		ack := msg.HeartbeatAck{Machine: hb.Machine, Incarnation: hb.Incarnation, Sequence: hb.Sequence}
		r.pendingAcks = append(r.pendingAcks, ack)
		response := wire.HeartbeatResponse{FencingToken: hb.FencingToken, Commands: []wire.Command{}}
		r.outbox.Respond(in.RequestID, http.StatusOK, response)
	default:
		delete(r.acked, hb.Machine)
		r.outbox.Emit(msg.Forward{RequestID: in.RequestID, Node: leader.Node, Heartbeat: *hb})
	}
}

// expireWorkers deletes stale state of workers from the maps that have grown too large.
func (r *Relay) expireWorkers() {
	now := r.outbox.Now()
	if len(r.redirects) > maxTrackedWorkers {
		maps.DeleteFunc(r.redirects, func(_ string, d redirect) bool {
			return now > max(d.exemptUntil, d.sentAt+redirectReturnWindow)
		})
	}
	if len(r.acked) > maxTrackedWorkers {
		maps.DeleteFunc(r.acked, func(_ string, a ackedHeartbeat) bool { return now-a.ackedAt > ackLifetime })
	}
	if len(r.written) > maxTrackedWorkers {
		maps.DeleteFunc(r.written, func(_ string, w RelayedHeartbeat) bool {
			return now-w.receivedAt > r.cfg.WorkerTimeout()
		})
	}
}
