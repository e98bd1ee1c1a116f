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
	now    emulator.Micros
	state  *emulator.State
	world  *emulator.Environment
	nodes  []*node
	req    uint64
	inbox  []delivery
	held   []func()
	told   map[string]string          // what users were told last
	known  map[string]emulator.Micros // when somebody was first told that a job is accepted
	limits map[string]float64
	scale  int     // how many times the machines and teams' limits of a script
	quota  float64 // changes a second that the state service takes; 0: any number
	tokens float64 // what is left of them
	// The settings tell of the state service's coming limits.
	announced bool
	seeds     uint64
	late      wire.Heartbeat // held back by a script
	effects   hash.Hash64    // of all that nodes have done, if anybody wants to know
	copies    *copies        // of reports, to come again; nil: none are kept
	strike    strike
	weather   *weather         // nil: everything takes no time, and nothing is late
	later     []due            // what comes late, in the order of its time
	users     []*user          // who ask again and again
	apart     string           // a zone that has nothing but its own nodes and machines
	looks     *looks           // nil: nobody asks closely, and what is on its way comes in order
	old       *node            // the last that was cut off as the leader
	only      map[string]*node // machines that one node alone reaches, and which
}

// strike ends a node with its next transaction that writes a key with a prefix, before the
// transaction takes effect or after it has and before the answer.
type strike struct {
	under string // "": no node
	after bool
}

// hits tells whether a transaction is the one.
func (k strike) hits(t *wire.Transaction) bool {
	return k.under != "" && slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put, k.under) })
}

type node struct {
	name     string
	core     *core.Core
	alive    bool
	born     emulator.Micros
	held     bool              // to the first format, as during an upgrade
	unshared bool              // it is set not to place tasks of many jobs by one change
	cut      map[string]string // link -> "drop" or "hold"
	rev      uint64
	answers  map[uint64]msg.Respond
	relist   bool
	busy     emulator.Micros // its loop is at one long step until then
	backlog  []msg.Input     // what has come meanwhile
	keeper   *leaserenewal.Renewer
	news     *news // the answer to its watch, on its way
}

type delivery struct {
	n    *node
	core *core.Core // an input for a process that has ended is lost
	in   msg.Input
}

// The limits that the state service of an announced change has from SetLimits on.
const (
	nextKB  = 2
	nextOps = 4
)

// SetLimits has the state service refuse what goes beyond its limits, the present
// ones or the coming ones.
func (s *Sim) SetLimits(next bool) {
	s.state.ValueBytes, s.state.TxnOps = 4*1024, 8
	if next {
		s.state.ValueBytes, s.state.TxnOps = nextKB*1024, nextOps
	}
}

// NewSim returns a world with so many nodes, all running.
func NewSim(nodes int) *Sim { return newSim(nodes, 1, 0) }

// newSim returns a world that is scale times the usual one, with a state service
// that takes no more than quota changes a second, if quota isn't 0.
func newSim(nodes, scale int, quota float64) *Sim {
	return newSimFor(nodes, scale, quota, nil)
}

// newSimFor does the same for a change of the state service's limits, with some
// nodes held to the first format; nil: no such change.
func newSimFor(nodes, scale int, quota float64, held []string) *Sim {
	s := &Sim{announced: held != nil, now: emulator.Second, state: emulator.NewState(), world: emulator.NewEnvironment(), scale: scale, quota: quota,
		told: map[string]string{}, known: map[string]emulator.Micros{}, only: map[string]*node{}, limits: map[string]float64{"red": float64(24 * scale), "blue": float64(8 * scale)}}
	for z := range s.world.Capacity {
		s.world.Capacity[z] *= scale
	}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i+1)
		s.nodes = append(s.nodes, &node{name: name, cut: map[string]string{}, held: slices.Contains(held, name)})
	}
	s.SetLimits(false)
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *Sim) config(name string) *config.Config {
	c := &config.Config{Settings: config.Defaults()}
	c.Node, c.Location = name, location(name)
	c.Settings.HoldFormat = s.node(name).held
	c.Settings.PlacementPages = !s.node(name).unshared
	for _, n := range s.nodes {
		if n.name != name {
			c.Peers = append(c.Peers, config.Peer{Node: n.name, Location: location(n.name)})
		}
	}
	c.Cluster = config.Cluster{
		Zones: []string{"a", "b"},
		Teams: []config.Team{{Name: "red", GPUs: s.limits["blue"], GPUsMax: s.limits["red"]},
			{Name: "blue", GPUs: s.limits["blue"], GPUsMax: s.limits["blue"]}},
		Workers: config.Workers{ReportS: float64(max(s.world.ReportEvery, emulator.Second)) / 1e6, LeaseS: float64(s.world.Lease) / 1e6, GangWaitS: float64(s.world.GangWait) / 1e6,
			GangPeerS: 2, CancelS: float64(s.world.CancelIn) / 1e6},
		State: config.State{RPS: 100, WriteRPS: 50, ValueKB: 4, TxnOps: 8},
		Cloud: config.Cloud{RPS: 10, ListLagS: 2},
	}
	if s.announced {
		c.Cluster.State.Next.ValueKB, c.Cluster.State.Next.TxnOps, c.Cluster.State.Next.WriteRPS = nextKB, nextOps, 20
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
	s.seeds++
	n.core = core.New(s.config(n.name), s.seeds*7919)
	n.alive, n.born, n.relist, n.answers = true, s.now, true, map[uint64]msg.Respond{}
	n.busy, n.backlog, n.keeper, n.news = 0, nil, &leaserenewal.Renewer{}, nil
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
	s.inbox = append(s.inbox, delivery{n, n.core, in})
}

// step hands an input to a node.
func (s *Sim) step(n *node, in msg.Input) []msg.Effect {
	if s.now < n.busy {
		n.backlog = append(n.backlog, in)
		return nil
	}
	out := n.core.Step(s.now-n.born+1, in)
	if s.effects != nil {
		for _, e := range out {
			digestEffect(s.effects, s.now, n.name, e)
		}
	}
	return out
}

// settle delivers what is on its way.
func (s *Sim) settle() {
	for len(s.inbox) > 0 {
		i := s.looks.pick(len(s.inbox))
		d := s.inbox[i]
		s.inbox = slices.Delete(s.inbox, i, i+1)
		if !d.n.alive || d.n.core != d.core {
			continue
		}
		for _, e := range s.step(d.n, d.in) {
			s.carry(d.n, e)
		}
	}
}

// Run lets time pass.
func (s *Sim) Run(d emulator.Micros) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.tokens = min(s.quota, s.tokens+s.quota*float64(tick)/float64(emulator.Second))
		s.state.Expire(s.now)
		s.world.Tick(s.now)
		s.comeLate()
		s.reports()
		s.atEnd()
		for _, n := range s.looks.shuffled(s.nodes) {
			if n.alive {
				s.keep(n)
			}
			if n.alive && s.now >= n.busy {
				for _, in := range n.backlog {
					s.post(n, in)
				}
				n.backlog = nil
				s.settle()
				s.follow(n)
				s.hear(n)
				s.post(n, msg.Tick{WallClock: s.now})
				s.settle()
			}
			if s.looks != nil { // between what one node does and the next
				s.ask()
			}
		}
		s.ask()
		if s.now%emulator.Second < tick { // a second's work has been added up piece by piece
			for _, n := range s.nodes {
				if err := n.core.Audit(); n.alive && err != nil {
					s.world.Broken = append(s.world.Broken, "survey of "+n.name+": "+err.Error())
				}
			}
		}
		for team, limit := range s.limits {
			if s.world.Used(team) > limit {
				s.world.Broken = append(s.world.Broken, "quota "+team)
			}
		}
	}
}

// keep renews a node's lease beside its loop.
func (s *Sim) keep(n *node) {
	if lease, _ := n.keeper.Due(time.UnixMicro(s.now)); lease != 0 && n.cut["state"] == "" {
		s.renew(n, lease)
	}
}

// renew renews a lease for a node.
func (s *Sim) renew(n *node, lease uint64) {
	d := msg.LeaseDone{Outcome: msg.Refused, Lease: lease, IsRenewal: true}
	if n.cut["state"] == "" {
		d.Outcome = outcome(s.state.Extend(s.now, lease), "")
	}
	if d.Outcome == msg.Gone {
		n.keeper.Release(lease)
	}
	s.post(n, d)
}

// hear lets a node hear the peers that it has a link to.
func (s *Sim) hear(n *node) {
	for _, p := range s.nodes {
		if p != n && p.alive && s.peers(n, p) == "" {
			s.post(n, msg.PeerAlive{Node: p.name})
		}
	}
}

// follow feeds a node's listing and watch.
func (s *Sim) follow(n *node) {
	if n.news != nil {
		if s.now >= n.news.at {
			s.post(n, n.news.in)
			n.news = nil
			s.settle()
		}
		return
	}
	if s.state.Down || n.cut["state"] != "" || n.cut["watch"] != "" {
		return
	}
	var in msg.Input
	if n.relist {
		n.relist = false
		n.rev = s.state.Revision()
		in = msg.Snapshot{Items: s.state.List(job.KeyRoot), Revision: n.rev}
	} else {
		evs := s.state.Since(job.KeyRoot, n.rev)
		n.rev = s.state.Revision()
		in = msg.Changed{Events: evs, CurrentAt: s.now - n.born + 1}
	}
	if d := s.weather.slowNews(); d > 0 {
		n.news = &news{s.now + d, in}
		return
	}
	s.post(n, in)
	s.settle()
}

// Leader names the node that holds the claim, or "none".
func (s *Sim) Leader() string {
	var c struct {
		Node string `msgpack:"node"`
	}
	it := s.state.Get(job.KeyRoot + "leader")
	if it.Version == 0 || job.Decode(it.Value, &c) != nil {
		return "none"
	}
	return c.Node
}

// Show describes where everything is.
func (s *Sim) Show() string {
	var b strings.Builder
	fmt.Fprintf(&b, "leader %s, %d machines\n", s.Leader(), len(s.world.Machines))
	ids := slices.Sorted(maps.Keys(s.world.Jobs))
	for _, id := range ids {
		for _, line := range s.world.On(id, true) {
			fmt.Fprintln(&b, line)
		}
	}
	return b.String()
}

// Release delivers what held links have kept back.
func (s *Sim) Release() {
	held := s.held
	s.held = nil
	for _, f := range held {
		f()
	}
	s.settle()
}
