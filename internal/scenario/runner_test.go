// Package scenario tests clusters in a discrete-time simulation: a few nodes that run the
// real core, with an emulated state service, cloud and workers, a simulated clock and links
// that can be cut. The simulation is driven by the scripts in testdata and by randomly
// generated scripts of faults, called days. The invariants of the emulator and of this
// package are checked throughout.
package scenario

import (
	"fmt"
	"hash"
	"maps"
	"slices"
	"strings"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/internal/node/leaserenewal"
	"coralhub/wire"
)

const tick = emulator.Second / 10

// Sim is a simulated cluster with its environment. It is not safe for concurrent use.
type Sim struct {
	now           emulator.Micros
	state         *emulator.State
	env           *emulator.Environment
	nodes         []*node
	lastRequestID uint64
	inFlight      []delivery
	heldMessages  []func()                   // messages over cut links, delivered once the links are healed
	lastStatus    map[string]string          // the latest status that any user was told, by job
	acceptedAt    map[string]emulator.Micros // when a user was first told that a job was accepted
	teamLimits    map[string]float64         // GPUs
	scale         int                        // multiple of the usual machines and team limits
	writeQuota    float64                    // changes per second that the state service accepts; 0 if unlimited
	writeTokens   float64                    // left in the token bucket of the write quota
	// limitsAnnounced is whether the configuration of nodes announces coming limits of the state service.
	limitsAnnounced    bool
	coresStarted       uint64           // number of cores started so far, from which their seeds derive
	heldHeartbeat      wire.Heartbeat   // that a script holds back
	effects            hash.Hash64      // digest of the effects of all nodes; nil if none is computed
	heartbeatCopies    *heartbeatCopies // copies that may be delivered again; nil if none are kept
	crash              crashTrigger
	messageFaults      *messageFaults      // nil if messages are delivered at once
	scheduled          []scheduledEvent    // in order of time
	users              []*user             // users with requests to make
	isolatedZone       string              // zone whose nodes and machines reach only each other, "" if none
	concurrentRequests *concurrentRequests // nil if there are none and messages are delivered in order
	rejectedCalls      int                 // direct calls that workers have rejected
	executedWrites     []wire.Transaction  // transactions that may be executed again, the oldest first
	reportSizes        *reportSizes        // nil if they are not recorded
	logs               []msg.Log           // of all nodes
	executedCalls      []executedCall      // direct calls that may be delivered again, the oldest first
	deposedLeader      *node               // the last node that was cut off while it led
	reachableOnlyBy    map[string]*node    // by machine: the only node that reaches it
}

// crashTrigger crashes the node that next sends a transaction that writes a key with a prefix:
// before the transaction takes effect, or after that and before the response.
type crashTrigger struct {
	keyPrefix   string // "" if no crash is triggered
	afterCommit bool
}

// matches reports whether a transaction triggers the crash.
func (trigger crashTrigger) matches(t *wire.Transaction) bool {
	return trigger.keyPrefix != "" && slices.ContainsFunc(t.Changes, func(c wire.Change) bool {
		return strings.HasPrefix(c.Put, trigger.keyPrefix)
	})
}

// node is a simulated node. Its core is replaced when it restarts.
type node struct {
	name             string
	core             *core.Core
	alive            bool
	startedAt        emulator.Micros
	formatHeld       bool              // writes only the first format, as during an upgrade
	noPlacementPages bool              // placement pages are disabled in the settings
	cutLinks         map[string]string // mode of the cut ("drop", "hold" or "stall") by link
	watchRevision    uint64
	responses        map[uint64]msg.Respond // by request ID
	relist           bool                   // the watch has to start with a new listing
	busyUntil        emulator.Micros        // the loop is blocked until then
	backlog          []msg.Input            // inputs that arrived while the loop was blocked
	leases           *leaserenewal.Renewer
	pendingWatch     *watchResult // in flight; nil if none is
}

// delivery is an input in flight to a node. It is lost if the process of the node ends.
type delivery struct {
	node  *node
	core  *core.Core // identifies the process that it was sent to
	input msg.Input
}

// The announced limits of the state service, which setStateLimits(true) brings into force.
const (
	nextValueKB = 2
	nextTxnOps  = 4
)

// setStateLimits has the state service enforce the announced limits, or else the initial ones.
func (s *Sim) setStateLimits(next bool) {
	s.state.ValueBytes, s.state.TxnOps = 4*1024, 8
	if next {
		s.state.ValueBytes, s.state.TxnOps = nextValueKB*1024, nextTxnOps
	}
}

// newSim returns a simulation with the given number of nodes, all running.
func newSim(nodes int) *Sim { return newSimOfScale(nodes, 1, 0) }

// newSimOfScale returns a simulation with scale times the usual machines and team limits. The
// state service accepts no more than quota changes per second, unless quota is 0.
func newSimOfScale(nodes, scale int, quota float64) *Sim {
	return newSimWithUpgrade(nodes, scale, quota, nil)
}

// newSimWithUpgrade returns a simulation like newSimOfScale, but with lower limits of the state
// service announced and the nodes named in held kept to the first format. If held is nil no
// limits are announced.
func newSimWithUpgrade(nodes, scale int, quota float64, held []string) *Sim {
	s := &Sim{
		limitsAnnounced: held != nil,
		now:             emulator.Second,
		state:           emulator.NewState(),
		env:             emulator.NewEnvironment(),
		scale:           scale,
		writeQuota:      quota,
		lastStatus:      map[string]string{},
		acceptedAt:      map[string]emulator.Micros{},
		reachableOnlyBy: map[string]*node{},
		teamLimits:      map[string]float64{"red": float64(24 * scale), "blue": float64(8 * scale)},
	}
	for z := range s.env.Capacity {
		s.env.Capacity[z] *= scale
	}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i+1)
		s.nodes = append(s.nodes, &node{name: name, cutLinks: map[string]string{}, formatHeld: slices.Contains(held, name)})
	}
	s.setStateLimits(false)
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// config returns the configuration of the named node.
func (s *Sim) config(name string) *config.Config {
	c := &config.Config{Settings: config.Defaults()}
	c.Node, c.Location = name, location(name)
	c.Settings.HoldFormat = s.node(name).formatHeld
	c.Settings.PlacementPages = !s.node(name).noPlacementPages
	for _, n := range s.nodes {
		if n.name != name {
			c.Peers = append(c.Peers, config.Peer{Node: n.name, Location: location(n.name)})
		}
	}
	c.Cluster = config.Cluster{
		Zones: []string{"a", "b"},
		Teams: []config.Team{{Name: "red", GPUs: s.teamLimits["blue"], GPUsMax: s.teamLimits["red"]},
			{Name: "blue", GPUs: s.teamLimits["blue"], GPUsMax: s.teamLimits["blue"]}},
		Workers: config.Workers{ReportS: float64(max(s.env.HeartbeatInterval, emulator.Second)) / 1e6,
			LeaseS: float64(s.env.Lease) / 1e6, GangWaitS: float64(s.env.GangWait) / 1e6,
			GangPeerS: 2, CancelS: float64(s.env.CancelTimeout) / 1e6},
		State: config.State{RPS: 100, WriteRPS: 50, ValueKB: 4, TxnOps: 8},
		Cloud: config.Cloud{RPS: 10, ListLagS: 2},
	}
	if s.limitsAnnounced {
		c.Cluster.State.Next.ValueKB, c.Cluster.State.Next.TxnOps, c.Cluster.State.Next.WriteRPS = nextValueKB, nextTxnOps, 20
	}
	return c
}

// location returns the zone of the named node: nodes alternate between the zones.
func location(name string) string {
	if strings.Trim(name, "n")[0]%2 == 1 {
		return "a"
	}
	return "b"
}

// start starts a new process of a node, which replaces a running one.
func (s *Sim) start(n *node) {
	s.coresStarted++
	n.core = core.New(s.config(n.name), s.coresStarted*7919)
	n.alive = true
	n.startedAt = s.now
	n.relist = true
	n.responses = map[uint64]msg.Respond{}
	n.busyUntil = 0
	n.backlog = nil
	n.leases = &leaserenewal.Renewer{}
	n.pendingWatch = nil
}

// node returns the node with the given name, or the first node if there is none.
func (s *Sim) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return s.nodes[0]
}

// post puts an input in flight to a node.
func (s *Sim) post(n *node, in msg.Input) {
	s.inFlight = append(s.inFlight, delivery{n, n.core, in})
}

// step runs a step of a node's core, or queues the input while the node's loop is blocked.
func (s *Sim) step(n *node, in msg.Input) []msg.Effect {
	if s.now < n.busyUntil {
		n.backlog = append(n.backlog, in)
		return nil
	}
	out := n.core.Step(s.now-n.startedAt+1, in)
	if s.effects != nil {
		for _, e := range out {
			digestEffect(s.effects, s.now, n.name, e)
		}
	}
	return out
}

// deliverAll delivers the inputs in flight and executes the effects, until nothing is in flight.
func (s *Sim) deliverAll() {
	for len(s.inFlight) > 0 {
		i := s.concurrentRequests.nextDelivery(len(s.inFlight))
		d := s.inFlight[i]
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
		if !d.node.alive || d.node.core != d.core {
			continue
		}
		for _, e := range s.step(d.node, d.input) {
			s.execute(d.node, e)
		}
	}
}

// run advances the simulation by d in ticks.
func (s *Sim) run(d emulator.Micros) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.tickEnvironment()
		for _, n := range s.concurrentRequests.nodeOrder(s.nodes) {
			s.tickNode(n)
			if s.concurrentRequests != nil { // requests of users arrive between the steps of the nodes
				s.sendUserRequests()
			}
		}
		s.sendUserRequests()
		s.checkInvariants()
	}
}

// tickEnvironment runs a tick of everything except the nodes and users.
func (s *Sim) tickEnvironment() {
	s.writeTokens = min(s.writeQuota, s.writeTokens+s.writeQuota*float64(tick)/float64(emulator.Second))
	s.state.Expire(s.now)
	s.env.Tick(s.now)
	s.runScheduled()
	s.sendHeartbeats()
	s.addUsersOfEndedJobs()
}

// tickNode runs a tick of a node.
func (s *Sim) tickNode(n *node) {
	if n.alive {
		s.renewDueLeases(n)
	}
	if !n.alive || s.now < n.busyUntil {
		return
	}
	for _, in := range n.backlog {
		s.post(n, in)
	}
	n.backlog = nil
	s.deliverAll()
	s.followWatch(n)
	s.postPeersAlive(n)
	s.post(n, msg.Tick{WallClock: s.now})
	s.deliverAll()
}

// checkInvariants checks the limits of the teams, and once a second the state that nodes
// maintain incrementally.
func (s *Sim) checkInvariants() {
	if s.now%emulator.Second < tick {
		for _, n := range s.nodes {
			if err := n.core.Audit(); n.alive && err != nil {
				s.env.Violations = append(s.env.Violations, "audit of "+n.name+": "+err.Error())
			}
		}
	}
	for team, limit := range s.teamLimits {
		if s.env.UsedGPUs(team) > limit {
			s.env.Violations = append(s.env.Violations, "quota "+team)
		}
	}
}

// renewDueLeases renews a node's lease if that is due. The renewal is independent of the node's loop.
func (s *Sim) renewDueLeases(n *node) {
	if lease, _ := n.leases.Due(time.UnixMicro(s.now)); lease != 0 && n.cutLinks["state"] == "" {
		s.renewLease(n, lease)
	}
}

// renewLease renews a lease and posts the result to the node.
func (s *Sim) renewLease(n *node, lease uint64) {
	d := msg.LeaseDone{Outcome: msg.Refused, Lease: lease, IsRenewal: true}
	if n.cutLinks["state"] == "" {
		d.Outcome = outcome(s.state.Extend(s.now, lease), "")
	}
	if d.Outcome == msg.Gone {
		n.leases.Stop(lease)
	}
	s.post(n, d)
}

// postPeersAlive posts a PeerAlive input to a node for each live peer to which the node has a link.
func (s *Sim) postPeersAlive(n *node) {
	for _, p := range s.nodes {
		if p != n && p.alive && s.peerCutMode(n, p) == "" {
			s.post(n, msg.PeerAlive{Node: p.name})
		}
	}
}

// followWatch posts the next result of a node's listing or watch, or puts it in flight if
// message faults delay it.
func (s *Sim) followWatch(n *node) {
	if n.pendingWatch != nil {
		if s.now >= n.pendingWatch.at {
			s.post(n, n.pendingWatch.input)
			n.pendingWatch = nil
			s.deliverAll()
		}
		return
	}
	if s.state.Down || n.cutLinks["state"] != "" || n.cutLinks["watch"] != "" {
		return
	}
	var in msg.Input
	if n.relist {
		n.relist = false
		n.watchRevision = s.state.Revision()
		in = msg.Snapshot{Items: s.state.List(job.KeyRoot), Revision: n.watchRevision}
	} else {
		evs := s.state.Since(job.KeyRoot, n.watchRevision)
		n.watchRevision = s.state.Revision()
		in = msg.Changed{Events: evs, CurrentAt: s.now - n.startedAt + 1}
	}
	if d := s.messageFaults.watchDelay(); d > 0 {
		n.pendingWatch = &watchResult{s.now + d, in}
		return
	}
	s.post(n, in)
	s.deliverAll()
}

// leader returns the name of the node that leads according to the leader key, or "none".
func (s *Sim) leader() string {
	var c struct {
		Node string `msgpack:"node"`
	}
	it := s.state.Get(job.KeyRoot + "leader")
	if it.Version == 0 || job.Decode(it.Value, &c) != nil {
		return "none"
	}
	return c.Node
}

// show formats the leader, the number of machines and the tasks on them.
func (s *Sim) show() string {
	var b strings.Builder
	fmt.Fprintf(&b, "leader %s, %d machines\n", s.leader(), len(s.env.Machines))
	ids := slices.Sorted(maps.Keys(s.env.Jobs))
	for _, id := range ids {
		for _, line := range s.env.TasksOf(id, true) {
			fmt.Fprintln(&b, line)
		}
	}
	return b.String()
}

// releaseHeld delivers the messages that cut links have held back.
func (s *Sim) releaseHeld() {
	held := s.heldMessages
	s.heldMessages = nil
	for _, f := range held {
		f()
	}
	s.deliverAll()
}
