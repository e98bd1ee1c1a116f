// Package relay serves workers on behalf of a leader elsewhere.
//
// A worker's home is a node in its own zone. A report that tells the leader
// something, or to which the leader may have something to say, is handed on. One
// that repeats what the leader has taken, while the records ask nothing of the
// worker, is answered by the home; the leader hears of those workers many at a
// time (beats). If the leader can't be reached, as in a cut between zones, the
// home stands in for it and sends what it hears by way of the state service.
//
// Both go by this node's copy of the records. A home stops what is cancelled, and
// starts and forgets nothing: conclusions about starts are drawn by the leader
// alone. See fresh for how old the copy may be.
package relay

import (
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// KeyPrefix is where a node's mail to the leader is, by its name.
const KeyPrefix = job.KeyRoot + "mail/"

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Relay is one node's.
type Relay struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	encoding *records.Encoding
	elector  *election.Elector

	location    map[string]string // of every node
	peerHeardAt map[string]Micros // when a peer was last heard
	redirects   map[string]redirect

	acked       map[string]ackedHeartbeat // by machine
	pendingAcks []msg.HeartbeatAck        // workers answered for the leader since the last beat
	nextBatchAt Micros
	delegation  delegation

	leaderChangedAt Micros // when the leader's claim was heard of first
	leaderResponded bool   // the leader has answered as such since

	queued       map[string]RelayedHeartbeat // for the leader, by way of the state service
	written      map[string]RelayedHeartbeat // what was sent last
	writePending bool
	nextWriteAt  Micros
}

// New returns the home that a node is to the workers near it.
func New(cfg *config.Config, box *outbox.Outbox, replica *records.Replica, form *records.Encoding, leader *election.Elector) *Relay {
	h := &Relay{cfg: cfg, outbox: box, replica: replica, encoding: form, elector: leader, location: map[string]string{cfg.Node: cfg.Location},
		peerHeardAt: map[string]Micros{}, redirects: map[string]redirect{}, acked: map[string]ackedHeartbeat{}, queued: map[string]RelayedHeartbeat{}, written: map[string]RelayedHeartbeat{}}
	for _, p := range cfg.Peers {
		h.location[p.Node] = p.Location
	}
	return h
}

// Tick does what is due by time alone. A node that leads owes nobody a report.
func (h *Relay) Tick(leads bool) {
	h.expireWorkers()
	h.sendBatch(leads)
	h.writeQueued()
}

// OnHolderChanged hears that somebody has written a claim to lead.
func (h *Relay) OnHolderChanged(from, to string) {
	if from != to {
		h.peerHeardAt[to] = h.outbox.Now()
		h.leaderChangedAt, h.leaderResponded = h.outbox.Now(), false
	}
	clear(h.written) // a new leader has not read it
}

// delegation is a leader's word that this node may stand in for it, though its copy of the
// records gets old: the leader tells no cancellation that this node has not confirmed to
// know of as long as the grant lasts.
type delegation struct {
	fencingToken uint64 // under which it was given
	until        Micros
}

// ackedHeartbeat is a report that a leader has taken with nothing to say to it.
type ackedHeartbeat struct {
	fencingToken uint64 // version of its claim
	incarnation  uint64
	ackedAt      Micros
	tasks        []wire.TaskStatus
}

// redirect remembers a worker that was sent to its home.
type redirect struct {
	sentAt          Micros
	servedHereUntil Micros // it came back: its home is out of its reach
}

// RelayedHeartbeat is a report in the leader's mail.
type RelayedHeartbeat struct {
	//lint:ignore U1000 read by the encoder: a line is a list, to be short
	_msgpack     struct{} `msgpack:",as_array"`
	Machine      string
	Incarnation  uint64
	Sequence     uint64
	FencingToken uint64
	NoticeS      *float64
	Tasks        []RelayedTask
	receivedAt   Micros
}

// RelayedTask is a task of a Line.
type RelayedTask struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  uint64
	State    string
	Cause    string
	Saved    bool
}

// peerTimeout is after how long without a word from the leader a node stands in.
const peerTimeout = 2500 * 1000

// relayWriteShare is the part of all changes that one node's mail may take.
const relayWriteShare = 0.1

// batchInterval is how often the leader hears of the workers answered for it.
const batchInterval = 400 * 1000

// keepAliveInterval is how often the leader hears of this node though there is nothing to tell.
const keepAliveInterval = config.Second

// ackLifetime is how long a home answers for the leader before it hands on a report
// though it says nothing new.
const ackLifetime = 10 * config.Second

// redirectedStay is how long a worker that can't reach its home is served elsewhere.
const redirectedStay = 20 * config.Second

// PeerAlive notes that a peer has answered.
func (h *Relay) PeerAlive(x msg.PeerAlive) { h.peerHeardAt[x.Node] = h.outbox.Now() }

// alive tells whether a node has been heard lately.
func (h *Relay) alive(node string) bool {
	return node == h.cfg.Node || h.outbox.Now()-h.peerHeardAt[node] <= peerTimeout
}

// homeOf picks the node that a worker should report to: the leader if it is in
// the worker's zone, or else some node there; "" if none is heard.
func (h *Relay) homeOf(r *wire.Heartbeat) string {
	if h.location[h.elector.Holder().Node] == r.Zone && h.alive(h.elector.Holder().Node) {
		return h.elector.Holder().Node
	}
	var there []string
	for node, loc := range h.location {
		if loc == r.Zone && h.alive(node) {
			there = append(there, node)
		}
	}
	if len(there) == 0 {
		return ""
	}
	sort.Strings(there)
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(r.Machine))
	return there[int(sum.Sum32()%uint32(len(there)))]
}

// Redirect redirects a worker to its home, unless it is there or has just come
// back from a home that it can't reach.
func (h *Relay) Redirect(x msg.HeartbeatIn) bool {
	home := h.homeOf(&x.Heartbeat)
	if home == "" || home == h.cfg.Node {
		return false
	}
	v := h.redirects[x.Heartbeat.Machine]
	if h.outbox.Now() < v.servedHereUntil {
		return false
	}
	if v.sentAt != 0 && h.outbox.Now()-v.sentAt < 3*peerTimeout {
		h.redirects[x.Heartbeat.Machine] = redirect{servedHereUntil: h.outbox.Now() + redirectedStay}
		return false
	}
	h.redirects[x.Heartbeat.Machine] = redirect{sentAt: h.outbox.Now()}
	h.outbox.Respond(x.RequestID, http.StatusMisdirectedRequest, wire.Redirect{Node: home})
	return true
}

// maxRememberedWorkers is how many workers are remembered before those that are of no
// more use are forgotten.
const maxRememberedWorkers = 1000

func (h *Relay) expireWorkers() {
	if len(h.redirects) > maxRememberedWorkers {
		maps.DeleteFunc(h.redirects, func(_ string, v redirect) bool {
			return h.outbox.Now() > max(v.servedHereUntil, v.sentAt+3*peerTimeout)
		})
	}
	if len(h.acked) > maxRememberedWorkers {
		maps.DeleteFunc(h.acked, func(_ string, t ackedHeartbeat) bool { return h.outbox.Now()-t.ackedAt > ackLifetime })
	}
	if len(h.written) > maxRememberedWorkers {
		maps.DeleteFunc(h.written, func(_ string, l RelayedHeartbeat) bool { return h.outbox.Now()-l.receivedAt > h.cfg.SilenceLimit() })
	}
}

// HandleHeartbeat serves a worker whose leader is elsewhere.
func (h *Relay) HandleHeartbeat(x msg.HeartbeatIn) {
	r := &x.Heartbeat
	switch {
	case h.Redirect(x):
	case !h.alive(h.elector.Holder().Node) && r.FencingToken <= h.elector.Holder().Version:
		h.actAsDelegate(x, true)
	case h.unchanged(r):
		h.pendingAcks = append(h.pendingAcks, msg.HeartbeatAck{Machine: r.Machine, Incarnation: r.Incarnation, Sequence: r.Sequence})
		h.outbox.Respond(x.RequestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: h.elector.Holder().Version, Commands: []wire.Command{}})
	default:
		delete(h.acked, r.Machine)
		h.outbox.Emit(msg.Forward{RequestID: x.RequestID, Node: h.elector.Holder().Node, Heartbeat: *r})
	}
}

// replicaFresh tells whether this node's copy of the records is recent enough to answer
// workers by. What it doesn't know may be that a job was cancelled and its user
// told so, after its copy was current. So it stops answering early enough for the
// lease of such a worker to end within the time that a cancellation has, unless the
// leader has given its word to tell of none.
func (h *Relay) replicaFresh() bool {
	w := &h.cfg.Cluster.Workers
	return h.outbox.Now()-h.replica.CurrentAt() < config.FromSeconds(w.CancelS-w.LeaseS)-4*config.Second || h.delegated()
}

// delegated tells whether the leader's word holds.
func (h *Relay) delegated() bool {
	return h.delegation.fencingToken == h.elector.Holder().Version && h.outbox.Now() < h.delegation.until
}

// unchanged tells whether a report says only what the leader has taken before, and
// the records ask nothing of the worker.
func (h *Relay) unchanged(r *wire.Heartbeat) bool {
	t, ok := h.acked[r.Machine]
	expected := h.replica.PlacementsOn(r.Machine)
	if !ok || t.fencingToken != h.elector.Holder().Version || t.incarnation != r.Incarnation || h.outbox.Now()-t.ackedAt > ackLifetime || r.FencingToken != h.elector.Holder().Version ||
		r.NoticeS != nil || len(expected) != len(r.Tasks) || !slices.Equal(t.tasks, r.Tasks) || !h.replicaFresh() {
		return false
	}
	for i := range r.Tasks {
		id, n, ok := wire.ParseTaskName(r.Tasks[i].Task)
		if !ok || r.Tasks[i].State == wire.Exited {
			return false
		}
		p, open := expected[job.AttemptKey{Job: id, Task: n, Attempt: r.Tasks[i].Attempt}]
		if j := h.replica.Job(id); !open || p.Session != r.Incarnation || j.Record.CancelRequested || j.Record.Final() {
			return false
		}
	}
	return true
}

// sendBatch tells the leader of the workers answered for it, and how much of the records
// this node knows.
func (h *Relay) sendBatch(leads bool) {
	if h.outbox.Now() < h.nextBatchAt || len(h.pendingAcks) == 0 && h.outbox.Now() < h.nextBatchAt+keepAliveInterval-batchInterval {
		return
	}
	h.nextBatchAt = h.outbox.Now() + batchInterval
	if !leads && h.elector.OtherHolder() != "" {
		h.outbox.Emit(msg.HeartbeatBatch{Node: h.elector.Holder().Node, Term: h.elector.Holder().Version, SentAt: h.outbox.Now(), Revision: h.replica.Revision(), Acks: h.pendingAcks})
	}
	h.pendingAcks = nil
}

// OnCancelRequested hears that a job is to be cancelled. The leader may wait for word that this node
// knows.
func (h *Relay) OnCancelRequested() {
	if h.delegated() {
		h.nextBatchAt = h.outbox.Now() - keepAliveInterval
	}
}

// HeartbeatBatchDone hears what the leader says to a beat.
func (h *Relay) HeartbeatBatchDone(x msg.HeartbeatBatchDone) {
	for _, name := range x.ResendMachines {
		delete(h.acked, name)
	}
	if x.Delegation > 0 && x.Batch.Term == h.elector.Holder().Version {
		h.leaderResponded = true
		if h.delegation.fencingToken != x.Batch.Term {
			h.delegation = delegation{fencingToken: x.Batch.Term}
		}
		h.delegation.until = max(h.delegation.until, x.Batch.SentAt+x.Delegation) // answers may overtake each other
	}
}

// ForwardDone passes on the leader's answer, or stands in for it.
func (h *Relay) ForwardDone(x msg.ForwardDone) {
	r := &x.Heartbeat
	if x.Response != nil {
		h.leaderResponded = h.leaderResponded || x.Response.FencingToken == h.elector.Holder().Version
		if len(x.Response.Commands) == 0 && x.Response.FencingToken == h.elector.Holder().Version {
			h.acked[r.Machine] = ackedHeartbeat{h.elector.Holder().Version, r.Incarnation, h.outbox.Now(), r.Tasks}
		}
		h.outbox.Respond(x.RequestID, http.StatusOK, *x.Response)
		return
	}
	if h.elector.IsLeader() || h.elector.OtherHolder() == "" || r.FencingToken > h.elector.Holder().Version {
		h.outbox.RetryLater(x.RequestID, "no leader")
		return
	}
	h.actAsDelegate(msg.HeartbeatIn{RequestID: x.RequestID, Heartbeat: x.Heartbeat}, !x.Busy)
}

// actAsDelegate answers a report in the place of a leader that can't be reached, if
// this node's copy of the records is fresh. One that is only busy gets no mail: that would
// cost it more than the report does, which comes again.
func (h *Relay) actAsDelegate(x msg.HeartbeatIn, mail bool) {
	begun := h.leaderCaughtUp()
	if !begun && h.KeepAlive(x) {
		return
	}
	// One that has seen no token has nothing to lose, and would bring this one to the old leader.
	if !begun && x.Heartbeat.FencingToken == 0 || !h.replicaFresh() {
		h.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	if h.respond(x, h.elector.Holder().Version) && mail {
		h.enqueue(&x.Heartbeat)
	}
}

// listingGrace is how long after a claim its holder is taken to have read the records, if the state
// service has answered this node since.
const listingGrace = 2 * config.Second

// leaderCaughtUp tells whether the leader is believed to have read the records since its claim. Before
// that it answers nobody, and a worker that has seen its token can be kept alive by no one else: not by the
// leader before it, and by homes only as long as their copies are recent. If the state service goes down between
// a claim and the listing, that would be every worker.
func (h *Relay) leaderCaughtUp() bool {
	return h.leaderResponded || h.replica.CurrentAt() >= h.leaderChangedAt+listingGrace
}

// KeepAlive answers a worker that has seen no token of the leader's reign by the token that it has
// seen, if it may: it returns false if not. However old the copy gets, a task of a cancelled job isn't
// kept by that. What leaders before this reign have told is in the copy, if that goes up to the reign's
// first claim: their transactions fail from then on. What this leader tells, or one after it,
// rests on workers that have seen its token, and those drop this answer.
func (h *Relay) KeepAlive(x msg.HeartbeatIn) bool {
	base := h.elector.Holder().TermStart
	if x.Heartbeat.FencingToken == 0 || x.Heartbeat.FencingToken >= base || h.replica.Revision() < base {
		return false
	}
	h.respond(x, x.Heartbeat.FencingToken)
	return true
}

// respond answers a worker by a token, and has it stop what is cancelled. It returns false if it
// could not, because the worker has a task that this node's copy doesn't know of.
func (h *Relay) respond(x msg.HeartbeatIn, token uint64) bool {
	orders := []wire.Command{}
	for _, t := range x.Heartbeat.Tasks {
		id, _, ok := wire.ParseTaskName(t.Task)
		if !ok || t.State == wire.Exited {
			continue
		}
		j := h.replica.Job(id)
		if j == nil {
			h.outbox.RetryLater(x.RequestID, "not the leader")
			return false
		}
		if j.Record.CancelRequested || j.Record.Phase == job.Cancelled {
			grace := 0.0
			orders = append(orders, wire.Command{Verb: wire.CommandStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	delete(h.acked, x.Heartbeat.Machine)
	h.outbox.Respond(x.RequestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: orders})
	return true
}

// enqueue puts a report into the leader's mail, unless it was sent a moment ago.
func (h *Relay) enqueue(r *wire.Heartbeat) {
	l := RelayedHeartbeat{Machine: r.Machine, Incarnation: r.Incarnation, Sequence: r.Sequence, FencingToken: r.FencingToken, NoticeS: r.NoticeS, receivedAt: h.outbox.Now()}
	for _, t := range r.Tasks {
		l.Tasks = append(l.Tasks, RelayedTask{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	// An unchanged report tells that the worker is alive, while it may be thought dead.
	if !l.differsFrom(h.written[r.Machine]) && h.outbox.Now()-h.written[r.Machine].receivedAt < h.cfg.SilenceLimit()/2 || len(h.queued) > maxRememberedWorkers {
		return
	}
	h.queued[r.Machine] = l
}

// differsFrom tells whether a line says more than an earlier one.
func (l RelayedHeartbeat) differsFrom(old RelayedHeartbeat) bool {
	return l.Incarnation != old.Incarnation || !slices.Equal(l.Tasks, old.Tasks)
}

// writeQueued writes what is in the mailbox, as much as one value has room for and
// what says something new first.
func (h *Relay) writeQueued() {
	if len(h.queued) == 0 || h.writePending || h.outbox.Now() < h.nextWriteAt || h.elector.Holder().Version == 0 {
		return
	}
	var lines []RelayedHeartbeat
	for _, name := range slices.Sorted(maps.Keys(h.queued)) {
		lines = append(lines, h.queued[name])
	}
	sort.SliceStable(lines, func(i, j int) bool {
		return lines[i].differsFrom(h.written[lines[i].Machine]) && !lines[j].differsFrom(h.written[lines[j].Machine])
	})
	value, err := job.Encode(lines)
	for err == nil && !h.encoding.Fits(value) {
		if len(lines) == 1 {
			delete(h.queued, lines[0].Machine) // never fits: the leader has to hear of it otherwise
			return
		}
		lines = lines[:len(lines)*3/4]
		value, err = job.Encode(lines)
	}
	if err != nil {
		return
	}
	h.writePending, h.nextWriteAt = true, h.outbox.Now()+h.encoding.IntervalForShare(relayWriteShare)
	h.outbox.Commit(wire.Transaction{
		Conditions: []wire.Condition{h.elector.HolderCondition()},
		Changes:    []wire.Change{{Put: KeyPrefix + h.cfg.Node, Value: value}},
	}, msg.PurposeRelay, func(d msg.CommitDone) {
		h.writePending = false
		if d.Outcome != msg.OK {
			return
		}
		for _, l := range lines {
			h.written[l.Machine] = l
			if h.queued[l.Machine].Sequence == l.Sequence {
				delete(h.queued, l.Machine)
			}
		}
	})
}
