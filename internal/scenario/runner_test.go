// Package scenario plays small text scripts against nodes of the real core on
// a made-up clock: a few nodes, a state service, a cloud and workers, with
// links that can be cut. Whatever a script does, the rules are watched.
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

// Sim is the world of a script.
type Sim struct {
	now           emulator.Micros
	state         *emulator.State
	env           *emulator.Environment
	nodes         []*node
	lastRequestID uint64
	inFlight      []delivery
	heldMessages  []func()
	lastStatus    map[string]string          // what users were told last
	acceptedAt    map[string]emulator.Micros // when somebody was first told that a job is accepted
	teamLimits    map[string]float64
	scale         int     // how many times the machines and teams' limits of a script
	writeQuota    float64 // changes a second that the state service takes; 0: any number
	writeTokens   float64 // what is left of them
	// The settings tell of the state service's coming limits.
	limitsAnnounced bool
	coresStarted    uint64
	heldHeartbeat   wire.Heartbeat   // held back by a script
	effects         hash.Hash64      // of all that nodes have done, if anybody wants to know
	heartbeatCopies *heartbeatCopies // of reports, to come again; nil: none are kept
	crash           crashTrigger
	messageFaults   *messageFaults   // nil: everything takes no time, and nothing is late
	scheduled       []scheduledEvent // what comes late, in the order of its time
	users           []*user          // who ask again and again
	isolatedZone    string           // a zone that has nothing but its own nodes and machines
	closePolling    *closePolling    // nil: nobody asks closely, and what is on its way comes in order
	deposedLeader   *node            // the last that was cut off as the leader
	reachableOnlyBy map[string]*node // machines that one node alone reaches, and which
}

// crashTrigger ends a node with its next transaction that writes a key with a prefix, before the
// transaction takes effect or after it has and before the answer.
type crashTrigger struct {
	keyPrefix   string // "": no node
	afterCommit bool
}

// matches tells whether a transaction is the one.
func (k crashTrigger) matches(t *wire.Transaction) bool {
	return k.keyPrefix != "" && slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put, k.keyPrefix) })
}

type node struct {
	name             string
	core             *core.Core
	alive            bool
	startedAt        emulator.Micros
	formatHeld       bool              // to the first format, as during an upgrade
	noPlacementPages bool              // it is set not to place tasks of many jobs by one change
	cutLinks         map[string]string // link -> "drop" or "hold"
	watchRevision    uint64
	answers          map[uint64]msg.Respond
	relist           bool
	busyUntil        emulator.Micros // its loop is at one long step until then
	backlog          []msg.Input     // what has come meanwhile
	leases           *leaserenewal.Renewer
	pendingWatch     *watchResult // the answer to its watch, on its way
}

type delivery struct {
	node  *node
	core  *core.Core // an input for a process that has ended is lost
	input msg.Input
}

// The limits that the state service of an announced change has from SetLimits on.
const (
	nextValueKB = 2
	nextTxnOps  = 4
)

// setStateLimits has the state service refuse what goes beyond its limits, the present
// ones or the coming ones.
func (s *Sim) setStateLimits(next bool) {
	s.state.ValueBytes, s.state.TxnOps = 4*1024, 8
	if next {
		s.state.ValueBytes, s.state.TxnOps = nextValueKB*1024, nextTxnOps
	}
}

// newSim returns a world with so many nodes, all running.
func newSim(nodes int) *Sim { return newSimOfScale(nodes, 1, 0) }

// newSimOfScale returns a world that is scale times the usual one, with a state service
// that takes no more than quota changes a second, if quota isn't 0.
func newSimOfScale(nodes, scale int, quota float64) *Sim {
	return newSimWithUpgrade(nodes, scale, quota, nil)
}

// newSimWithUpgrade does the same for a change of the state service's limits, with some
// nodes held to the first format; nil: no such change.
func newSimWithUpgrade(nodes, scale int, quota float64, held []string) *Sim {
	s := &Sim{limitsAnnounced: held != nil, now: emulator.Second, state: emulator.NewState(), env: emulator.NewEnvironment(), scale: scale, writeQuota: quota,
		lastStatus: map[string]string{}, acceptedAt: map[string]emulator.Micros{}, reachableOnlyBy: map[string]*node{}, teamLimits: map[string]float64{"red": float64(24 * scale), "blue": float64(8 * scale)}}
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
		Workers: config.Workers{ReportS: float64(max(s.env.ReportEvery, emulator.Second)) / 1e6, LeaseS: float64(s.env.Lease) / 1e6, GangWaitS: float64(s.env.GangWait) / 1e6,
			GangPeerS: 2, CancelS: float64(s.env.CancelIn) / 1e6},
		State: config.State{RPS: 100, WriteRPS: 50, ValueKB: 4, TxnOps: 8},
		Cloud: config.Cloud{RPS: 10, ListLagS: 2},
	}
	if s.limitsAnnounced {
		c.Cluster.State.Next.ValueKB, c.Cluster.State.Next.TxnOps, c.Cluster.State.Next.WriteRPS = nextValueKB, nextTxnOps, 20
	}
	return c
}

// location puts the nodes into the zones in turn.
func location(name string) string {
	if strings.Trim(name, "n")[0]%2 == 1 {
		return "a"
	}
	return "b"
}

func (s *Sim) start(n *node) {
	s.coresStarted++
	n.core = core.New(s.config(n.name), s.coresStarted*7919)
	n.alive, n.startedAt, n.relist, n.answers = true, s.now, true, map[uint64]msg.Respond{}
	n.busyUntil, n.backlog, n.leases, n.pendingWatch = 0, nil, &leaserenewal.Renewer{}, nil
}

func (s *Sim) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return s.nodes[0]
}

func (s *Sim) post(n *node, in msg.Input) {
	s.inFlight = append(s.inFlight, delivery{n, n.core, in})
}

// step hands an input to a node.
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

// deliverAll delivers what is on its way.
func (s *Sim) deliverAll() {
	for len(s.inFlight) > 0 {
		i := s.closePolling.next(len(s.inFlight))
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

// run lets time pass.
func (s *Sim) run(d emulator.Micros) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.writeTokens = min(s.writeQuota, s.writeTokens+s.writeQuota*float64(tick)/float64(emulator.Second))
		s.state.Expire(s.now)
		s.env.Tick(s.now)
		s.runScheduled()
		s.sendHeartbeats()
		s.actOnEndedJobs()
		for _, n := range s.closePolling.shuffled(s.nodes) {
			if n.alive {
				s.renewDueLeases(n)
			}
			if n.alive && s.now >= n.busyUntil {
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
			if s.closePolling != nil { // between what one node does and the next
				s.askUsers()
			}
		}
		s.askUsers()
		if s.now%emulator.Second < tick { // a second's work has been added up piece by piece
			for _, n := range s.nodes {
				if err := n.core.Audit(); n.alive && err != nil {
					s.env.Broken = append(s.env.Broken, "survey of "+n.name+": "+err.Error())
				}
			}
		}
		for team, limit := range s.teamLimits {
			if s.env.Used(team) > limit {
				s.env.Broken = append(s.env.Broken, "quota "+team)
			}
		}
	}
}

// renewDueLeases renews a node's lease beside its loop.
func (s *Sim) renewDueLeases(n *node) {
	if lease, _ := n.leases.Due(time.UnixMicro(s.now)); lease != 0 && n.cutLinks["state"] == "" {
		s.renewLease(n, lease)
	}
}

// renewLease renews a lease for a node.
func (s *Sim) renewLease(n *node, lease uint64) {
	d := msg.LeaseDone{Outcome: msg.Refused, Lease: lease, IsRenewal: true}
	if n.cutLinks["state"] == "" {
		d.Outcome = outcome(s.state.Extend(s.now, lease), "")
	}
	if d.Outcome == msg.Gone {
		n.leases.Release(lease)
	}
	s.post(n, d)
}

// postPeersAlive lets a node hear the peers that it has a link to.
func (s *Sim) postPeersAlive(n *node) {
	for _, p := range s.nodes {
		if p != n && p.alive && s.peers(n, p) == "" {
			s.post(n, msg.PeerAlive{Node: p.name})
		}
	}
}

// followWatch feeds a node's listing and watch.
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

// leader names the node that holds the claim, or "none".
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

// show describes where everything is.
func (s *Sim) show() string {
	var b strings.Builder
	fmt.Fprintf(&b, "leader %s, %d machines\n", s.leader(), len(s.env.Machines))
	ids := slices.Sorted(maps.Keys(s.env.Jobs))
	for _, id := range ids {
		for _, line := range s.env.On(id, true) {
			fmt.Fprintln(&b, line)
		}
	}
	return b.String()
}

// releaseHeld delivers what held links have kept back.
func (s *Sim) releaseHeld() {
	held := s.heldMessages
	s.heldMessages = nil
	for _, f := range held {
		f()
	}
	s.deliverAll()
}
