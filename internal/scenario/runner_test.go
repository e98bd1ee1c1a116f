// Package scenario plays small text scripts against nodes of the real core on
// a made-up clock: a few nodes, a state service, a cloud and workers, with
// links that can be cut. Whatever a script does, the rules are watched.
package scenario

import (
	"encoding/json"
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
	"coralhub/internal/core/records"
	"coralhub/internal/node/keep"
	"coralhub/internal/standin"
	"coralhub/wire"
)

const tick = standin.Second / 10

// Sim is the world of a script.
type Sim struct {
	now    standin.Micros
	state  *standin.State
	world  *standin.World
	nodes  []*node
	req    uint64
	inbox  []delivery
	held   []func()
	told   map[string]string         // what users were told last
	known  map[string]standin.Micros // when somebody was first told that a job is accepted
	limits map[string]float64
	scale  int     // how many times the machines and teams' limits of a script
	quota  float64 // changes a second that the state service takes; 0: any number
	tokens float64 // what is left of them
	// The settings tell of the state service's coming limits.
	announced bool
	seeds     uint64
	late      wire.Report // held back by a script
	unshared  bool        // nodes are set not to place tasks of many jobs by one change
	effects   hash.Hash64 // of all that nodes have done, if anybody wants to know
	copies    *copies     // of reports, to come again; nil: none are kept
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
func (k strike) hits(t *wire.Commit) bool {
	return k.under != "" && slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put, k.under) })
}

type node struct {
	name    string
	core    *core.Core
	alive   bool
	born    standin.Micros
	held    bool              // to the first format, as during an upgrade
	cut     map[string]string // link -> "drop" or "hold"
	rev     uint64
	answers map[uint64]msg.Answer
	relist  bool
	busy    standin.Micros // its loop is at one long step until then
	backlog []msg.Input    // what has come meanwhile
	keeper  *keep.Keeper
	news    *news // the answer to its watch, on its way
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
	s := &Sim{announced: held != nil, now: standin.Second, state: standin.NewState(), world: standin.NewWorld(), scale: scale, quota: quota,
		told: map[string]string{}, known: map[string]standin.Micros{}, only: map[string]*node{}, limits: map[string]float64{"red": float64(24 * scale), "blue": float64(8 * scale)}}
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
	c.Settings.SharedParts = !s.unshared
	for _, n := range s.nodes {
		if n.name != name {
			c.Peers = append(c.Peers, config.Peer{Node: n.name, Location: location(n.name)})
		}
	}
	c.Cluster = config.Cluster{
		Zones: []string{"a", "b"},
		Teams: []config.Team{{Name: "red", GPUs: s.limits["blue"], GPUsMax: s.limits["red"]},
			{Name: "blue", GPUs: s.limits["blue"], GPUsMax: s.limits["blue"]}},
		Workers: config.Workers{ReportS: float64(max(s.world.ReportEvery, standin.Second)) / 1e6, LeaseS: float64(s.world.Lease) / 1e6, GangWaitS: float64(s.world.GangWait) / 1e6,
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
	n.alive, n.born, n.relist, n.answers = true, s.now, true, map[uint64]msg.Answer{}
	n.busy, n.backlog, n.keeper, n.news = 0, nil, &keep.Keeper{}, nil
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
			raw, err := json.Marshal(e)
			if err != nil {
				raw = []byte(err.Error())
			}
			_, kind, _ := strings.Cut(fmt.Sprintf("%T", e), ".")
			fmt.Fprintf(s.effects, "%d %s %s %s\n", s.now, n.name, kind, raw)
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
func (s *Sim) Run(d standin.Micros) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.tokens = min(s.quota, s.tokens+s.quota*float64(tick)/float64(standin.Second))
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
				s.post(n, msg.Tick{Wall: s.now})
				s.settle()
			}
			if s.looks != nil { // between what one node does and the next
				s.ask()
			}
		}
		s.ask()
		if s.now%standin.Second < tick { // a second's work has been added up piece by piece
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
	d := msg.LeaseDone{Outcome: msg.Refused, Lease: lease, Renewal: true}
	if n.cut["state"] == "" {
		d.Outcome = outcome(s.state.Extend(s.now, lease), "")
	}
	if d.Outcome == msg.Gone {
		n.keeper.Drop(lease)
	}
	s.post(n, d)
}

// hear lets a node hear the peers that it has a link to.
func (s *Sim) hear(n *node) {
	for _, p := range s.nodes {
		if p != n && p.alive && s.peers(n, p) == "" {
			s.post(n, msg.PeerHeard{Node: p.name})
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
		in = msg.Snapshot{Items: s.state.List(job.Root), Revision: n.rev}
	} else {
		evs := s.state.Since(job.Root, n.rev)
		n.rev = s.state.Revision()
		in = msg.Changed{Events: evs, AsOf: s.now - n.born + 1}
	}
	if d := s.weather.slowNews(); d > 0 {
		n.news = &news{s.now + d, in}
		return
	}
	s.post(n, in)
	s.settle()
}

func outcome(status int, text string) msg.Outcome {
	switch {
	case status == 200:
		return msg.OK
	case status == 404, text == wire.NoSuchLease:
		return msg.Gone
	case status == 400:
		return msg.Invalid
	case status == 409:
		return msg.Conflict
	}
	return msg.Refused
}

// carry carries out an effect.
func (s *Sim) carry(n *node, e msg.Effect) {
	switch x := e.(type) {
	case msg.Commit:
		s.commit(n, x)
	case msg.Read:
		d := msg.ReadDone{ID: x.ID, Key: x.Key, Outcome: msg.Refused}
		if !s.state.Down && n.cut["state"] == "" {
			d.Outcome, d.Item = msg.OK, s.state.Get(x.Key)
		}
		s.post(n, d)
	case msg.GrantLease:
		d := msg.LeaseDone{Outcome: msg.Refused}
		if n.cut["state"] == "" {
			status, id := s.state.Grant(s.now, x.TTL)
			d.Outcome, d.Lease = outcome(status, ""), id
			n.keeper.Want(id, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		}
		s.post(n, d)
	case msg.DropLease:
		n.keeper.Drop(x.Lease)
	case msg.RenewLease:
		n.keeper.Want(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		s.renew(n, x.Lease)
	case msg.Relist:
		n.relist = true
	case msg.Answer:
		n.answers[x.Req] = x
	case msg.Command:
		s.command(n, x)
	case msg.Forward:
		d := msg.ForwardDone{Req: x.Req, Report: x.Report}
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.req++
			req := s.req
			for _, e := range s.step(to, msg.ReportIn{Req: req, Report: x.Report, Forwarded: true}) {
				s.carry(to, e)
			}
			if a, ok := to.answers[req].Body.(wire.ReportAnswer); ok {
				d.Answer = &a
			}
			d.Busy = s.now < to.busy
			delete(to.answers, req)
		}
		s.post(n, d)
	case msg.Beat:
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.req++
			for _, e := range s.step(to, msg.BeatIn{Req: s.req, Node: n.name, Revision: x.Revision, Heard: x.Heard}) {
				s.carry(to, e)
			}
			said, _ := to.answers[s.req].Body.(msg.BeatAnswer)
			delete(to.answers, s.req)
			s.reply(n, s.weather.slowBeat(), msg.BeatDone{Beat: x, BeatAnswer: said})
		} else if s.peers(n, to) == "hold" { // it comes late, and nobody hears the answer
			s.held = append(s.held, func() {
				if to.alive {
					s.req++
					s.post(to, msg.BeatIn{Req: s.req, Node: n.name, Revision: x.Revision, Heard: x.Heard})
				}
			})
		}
	case msg.Tell:
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.post(to, msg.Hint{Event: x.Event})
		}
	default:
		s.cloud(n, e)
	}
}

// guards are what a transaction that writes a key has to be guarded by, by the key's prefix: the
// version of what it replaces, the claim that it is written under, or both. Which interleaving would break a rule
// without one takes luck to draw.
var guards = map[string]struct{ own, claim bool }{
	"job/": {own: true}, "part/": {true, true}, "ended/": {true, true}, "leader": {own: true}, "standing/": {claim: true},
	"mail/": {claim: true}, "format": {true, true}, "placed/": {true, true},
}

// allGuarded checks that a transaction has the guards that its keys ask for.
func (s *Sim) allGuarded(t *wire.Commit) {
	by := map[string]bool{}
	for _, g := range t.Guards {
		by[g.Key] = true
	}
	for _, c := range t.Changes {
		key := c.Put + c.Delete
		for prefix, need := range guards {
			if strings.HasPrefix(key, job.Root+prefix) && (need.own && !by[key] || need.claim && !by[job.Root+"leader"]) {
				s.world.Broken = append(s.world.Broken, "written without its guards: "+key)
			}
		}
	}
}

// guarded checks what a scenario can hardly bring about: that a transaction
// which places tasks can't take effect once its sender's claim is gone, and that
// no task is placed that has a place. It tells whether any is placed.
func (s *Sim) guarded(t *wire.Commit) (places bool) {
	s.allGuarded(t)
	claimed := false
	for _, g := range t.Guards {
		if s.state.Get(g.Key).Version != g.Version {
			return false // it fails anyway
		}
		claimed = claimed || g.Key == job.Root+"leader" && g.Version != 0
	}
	for i := range t.Changes {
		c := &t.Changes[i]
		added := false
		switch _, _, isJob := job.ParseKey(c.Put); {
		case isJob:
			added = s.placesInRecord(c)
		case strings.HasPrefix(c.Put, sharedPrefix):
			added = s.placesInPage(c, t)
		}
		if places = places || added; added && !claimed {
			s.world.Broken = append(s.world.Broken, "placement without a claim in "+c.Put)
		}
	}
	return places
}

// placesInRecord checks a record or a part that is written, and tells whether it places tasks.
func (s *Sim) placesInRecord(c *wire.Change) bool {
	var was, is job.Record
	_ = job.DecodeRecord(s.state.Get(c.Put).Value, &was) // absent: nothing open
	if err := job.DecodeRecord(c.Value, &is); err != nil {
		s.world.Broken = append(s.world.Broken, "unreadable value for "+c.Put)
	}
	tasks := map[int]bool{}
	for _, o := range is.Open {
		if tasks[o.Task] {
			s.world.Broken = append(s.world.Broken, fmt.Sprintf("task %d placed twice in %s", o.Task, c.Put))
		}
		tasks[o.Task] = true
	}
	return len(is.Open) > len(was.Open)
}

// sharedPrefix is where pages of shared parts are.
const sharedPrefix = job.Root + "placed/"

// placesInPage checks a page of shared parts that is written, and tells whether it places tasks: each
// job's record has to be guarded, and no task may have a place, by whichever value.
func (s *Sim) placesInPage(c *wire.Change, t *wire.Commit) (places bool) {
	was, err := records.DecodeShared(s.state.Get(c.Put).Value)
	is, wrong := records.DecodeShared(c.Value)
	if wrong != nil || err != nil && s.state.Get(c.Put).Version != 0 {
		s.world.Broken = append(s.world.Broken, "unreadable value for "+c.Put)
		return false
	}
	had := map[job.Key]bool{}
	for i := range was {
		for _, o := range was[i].Open {
			had[o.Key(was[i].Job)] = true
		}
	}
	for i := range is {
		p := &is[i]
		for _, o := range p.Open {
			if had[o.Key(p.Job)] {
				continue
			}
			places = true
			if !slices.ContainsFunc(t.Guards, func(g wire.Guard) bool { return g.Key == job.RecordKey(p.Job) }) {
				s.world.Broken = append(s.world.Broken, "placed without a guard on its record: "+p.Job+" in "+c.Put)
			}
			if where := s.placed(p.Job, o.Task); where != "" {
				s.world.Broken = append(s.world.Broken, fmt.Sprintf("%s/%d placed in %s and is placed in %s", p.Job, o.Task, c.Put, where))
			}
		}
	}
	return places
}

// placed finds the value that has a task open or done, by all that is stored; "": none has.
func (s *Sim) placed(id string, task int) string {
	ended := map[records.Ended]bool{}
	for _, it := range s.state.List(job.Root + "ended/") {
		lines, _ := records.DecodePage(it.Value) // what can't be read shows elsewhere
		for _, l := range lines {
			ended[records.Ended{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine}] = true
		}
	}
	has := func(p *job.Part) bool {
		return slices.ContainsFunc(p.Open, func(o job.Placement) bool {
			return o.Task == task && !ended[records.Ended{Job: id, Task: task, Attempt: o.Attempt, Machine: o.Machine}]
		})
	}
	for _, it := range s.state.List(sharedPrefix) {
		parts, _ := records.DecodeShared(it.Value)
		for i := range parts {
			if parts[i].Job == id && has(&parts[i].Part) {
				return it.Key
			}
		}
	}
	for _, it := range append(s.state.List(job.Root+"part/"+id+"/"), s.state.Get(job.RecordKey(id))) {
		var rec job.Record
		if job.DecodeRecord(it.Value, &rec) == nil && has(&rec.Part) {
			return it.Key
		}
	}
	return ""
}

// commit carries out a transaction; over a held link it is carried out late.
func (s *Sim) commit(n *node, x msg.Commit) {
	d := msg.CommitDone{ID: x.ID, Outcome: msg.Refused}
	hit := s.strike.hits(&x.Txn)
	if hit {
		n.alive = false
		if !s.strike.after {
			s.strike = strike{}
			return
		}
		s.strike = strike{}
	}
	places := s.guarded(&x.Txn)
	if changes := float64(len(x.Txn.Changes)); s.quota > 0 && changes > 0 {
		if s.tokens < changes {
			s.post(n, d)
			return
		}
		s.tokens -= changes
	}
	switch n.cut["state"] {
	case "":
		fate, after := s.weather.commit(&x.Txn)
		if fate == lateAct && !s.state.Down {
			s.in(after, func() { s.commitLate(x.Txn) })
			s.reply(n, patience, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == slowAct {
			s.commitSlowly(n, x, after)
			return
		}
		status, a := s.state.Commit(x.Txn)
		d.Outcome, d.Revision, d.Failed = outcome(status, a.Error), a.Revision, a.Failed
		if n.cut["answer"] != "" && places { // one answer is lost
			d = msg.CommitDone{ID: x.ID, Outcome: msg.Unknown}
			delete(n.cut, "answer")
		}
		if fate == lostAnswer {
			s.reply(n, patience, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == slowAnswer {
			s.reply(n, after, d)
			return
		}
	case "hold", "stall":
		d.Outcome = msg.Unknown
		s.held = append(s.held, func() { s.state.Commit(x.Txn) })
		if n.cut["state"] == "stall" { // and the node waits as long as it does on real links
			s.reply(n, patience, d)
			return
		}
	}
	s.post(n, d)
}

// cutZone parts a zone's nodes from the state service, the cloud and nodes elsewhere, and its
// machines from those.
func (s *Sim) cutZone(name, mode string) {
	s.apart = name
	for _, n := range s.nodes {
		if location(n.name) == name {
			n.cut["state"], n.cut["cloud"] = mode, mode
		}
	}
}

// peers tells whether two nodes have a link, and what becomes of what is sent over it if not.
func (s *Sim) peers(n, to *node) (mode string) {
	switch {
	case n.cut["peers"] != "":
		return n.cut["peers"]
	case to.cut["peers"] != "":
		return to.cut["peers"]
	case s.apart != "" && (location(n.name) == s.apart) != (location(to.name) == s.apart):
		return "drop"
	}
	return ""
}

// reaches tells whether a node and a machine have a link at all.
func (s *Sim) reaches(n *node, m *standin.Machine) bool {
	if s.apart != "" && (location(n.name) == s.apart) != (m.Zone == s.apart) {
		return false
	}
	only := s.only[m.Name]
	return only == nil || only == n
}

func (s *Sim) command(n *node, x msg.Command) {
	m := s.world.Machines[x.Addr]
	d := msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Refused}
	run := func() (int, wire.Report) {
		if m = s.world.Machines[x.Addr]; m == nil || s.now < m.Up {
			return 0, wire.Report{}
		}
		return s.world.Commands(s.now, m, x.Commands)
	}
	switch {
	case m != nil && !s.reaches(n, m):
	case n.cut["workers"] == "hold" || m != nil && (m.Hang || m.Deaf == "hold"):
		d.Outcome = msg.Unknown
		s.held = append(s.held, func() { run() })
	case n.cut["workers"] == "" && m != nil && s.now >= m.Up && m.Deaf == "":
		switch fate, after := s.weather.command(); fate {
		case lateAct:
			s.in(after, func() { s.runLate(m.Name, run) })
			s.reply(n, callPatience, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case lostAnswer:
			run()
			s.reply(n, callPatience, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case slowAnswer:
			status, r := run()
			d.Report = &r
			if status == 200 {
				d.Outcome = msg.OK
			}
			s.reply(n, after, d)
			return
		}
		status, r := run()
		d.Report = &r
		if status == 200 {
			d.Outcome = msg.OK
		}
	}
	s.post(n, d)
}

func (s *Sim) cloud(n *node, e msg.Effect) {
	off := s.world.CloudOff || n.cut["cloud"] != ""
	if r, ok := e.(msg.Release); ok && n.cut["cloud"] == "hold" {
		s.held = append(s.held, func() { s.world.Release(s.now, r.Machines) })
		s.post(n, msg.ReleaseDone{Machines: r.Machines, Outcome: msg.Unknown})
		return
	}
	result := msg.OK
	if off {
		result = msg.Refused
	}
	switch x := e.(type) {
	case msg.FetchCatalog:
		d := msg.CatalogDone{Outcome: result}
		if !off {
			d.Catalog.Types = append([]wire.MachineType(nil), s.world.Types...)
		}
		s.post(n, d)
	case msg.ListMachines:
		d := msg.ListDone{Outcome: result}
		if !off {
			d.Machines = s.world.List(s.now)
		}
		s.post(n, d)
	case msg.Rent:
		d := msg.RentDone{Name: x.Request.Name, Outcome: result}
		if !off {
			if d.Machines = s.world.Rent(s.now, x.Request); len(d.Machines) == 0 {
				d.Outcome = msg.Conflict
			}
		}
		s.post(n, d)
	case msg.Release:
		if !off {
			s.world.Release(s.now, x.Machines)
		}
		s.post(n, msg.ReleaseDone{Machines: x.Machines, Outcome: result})
	}
}

// reports lets the workers report, as the protocol has it.
func (s *Sim) reports() {
	for _, name := range s.world.Names() {
		m := s.world.Machines[name]
		if !m.Due(s.now) {
			continue
		}
		n := s.nodes[m.Node%len(s.nodes)]
		r := m.Status()
		m.Reported(s.now, s.world.ReportEvery)
		s.copies.keep(s.now, &r)
		if again, after := s.weather.copies(s.world.Lease); again {
			to := s.nodes[s.weather.rnd.IntN(len(s.nodes))]
			s.in(after, func() {
				if to.alive {
					s.repeat(to, &r)
				}
			})
		}
		if there, back := s.weather.report(); there+back > 0 {
			s.slowReport(n, m, r, there, back)
			continue
		}
		var a msg.Answer
		if n.alive && n.cut["workers"] == "" && s.reaches(n, m) && !m.Mute {
			s.req++
			req := s.req
			s.post(n, msg.ReportIn{Req: req, Report: r})
			s.settle()
			a = n.answers[req]
			delete(n.answers, req)
		}
		if s.world.Machines[name] == nil {
			continue
		}
		s.answered(n, m, &r, s.now, a)
	}
}

// answered has a worker take the answer to a report, or none.
func (s *Sim) answered(n *node, m *standin.Machine, r *wire.Report, sent standin.Micros, a msg.Answer) {
	if m.Deaf != "" {
		a = msg.Answer{}
	}
	switch body := a.Body.(type) {
	case wire.ReportAnswer:
		s.world.Answered(s.now, sent, r.Session, m, body)
	case wire.Redirect:
		to := s.node(body.Node)
		for i := range s.nodes {
			if s.nodes[i] == to && to != n && body.Node != "" {
				m.Node, m.NextAt = i, s.now
			}
		}
		if s.nodes[m.Node%len(s.nodes)] == n {
			m.Node++
		}
	default:
		m.Node++
		m.NextAt = s.now + standin.Second
	}
}

// Ask has a user make a request to a node and returns the answer, waiting for
// it as users do.
func (s *Sim) Ask(n *node, input func(req uint64) msg.Input) msg.Answer {
	if !n.alive {
		return msg.Answer{}
	}
	s.req++
	req := s.req
	s.post(n, input(req))
	s.settle()
	for range 40 {
		if a, ok := n.answers[req]; ok {
			delete(n.answers, req)
			return a
		}
		s.Run(tick)
	}
	return msg.Answer{}
}

// Submit submits a job.
func (s *Sim) Submit(n *node, j *standin.JobIn) msg.Answer {
	if s.world.Jobs[j.ID] == nil {
		s.world.Jobs[j.ID] = j
	}
	floor := s.told[j.ID]
	a := s.Ask(n, s.submission(j))
	s.judge(j.ID, floor, a)
	return a
}

// submission is the request that submits a job.
func (s *Sim) submission(j *standin.JobIn) func(req uint64) msg.Input {
	raw, err := wire.Marshal(&j.Job)
	if err != nil {
		panic(err) // a description that the runner has made
	}
	return func(req uint64) msg.Input { return msg.SubmitIn{Req: req, Wall: s.now, Body: raw} }
}

// Cancel has a user cancel a job.
func (s *Sim) Cancel(n *node, id string) msg.Answer {
	if j := s.world.Jobs[id]; j != nil {
		j.Asked = true
	}
	floor := s.told[id]
	a := s.Ask(n, func(req uint64) msg.Input { return msg.CancelIn{Req: req, ID: id} })
	s.judge(id, floor, a)
	return a
}

// Poll has a user ask about a job.
func (s *Sim) Poll(n *node, id string) msg.Answer {
	floor := s.told[id]
	a := s.Ask(n, func(req uint64) msg.Input { return msg.PollIn{Req: req, ID: id} })
	s.judge(id, floor, a)
	return a
}

// final tells whether a state is a last word.
func final(status string) bool { return status == wire.Done || status == wire.Cancelled }

// judge watches what users are told. What anybody had heard of the job before this question was
// asked is its floor: no node may answer something older, whichever told it. An answer to a
// question from before that may.
func (s *Sim) judge(id, floor string, a msg.Answer) {
	broken := func(rule string) {
		s.world.Broken = append(s.world.Broken, fmt.Sprintf("%s %s: %s after %q", rule, id, strings.TrimSpace(describe(a)), floor))
	}
	if floor != "" && (a.Status == 404 || a.Status == 400 || a.Status == 422) {
		broken("forgotten")
	}
	if floor != "" && a.Status == 201 {
		broken("went_back accepted twice")
	}
	st, ok := a.Body.(wire.JobStatus)
	if !ok {
		return
	}
	j := s.world.Jobs[id]
	if j == nil {
		broken("invented")
		return
	}
	if final(floor) && st.Status != floor || final(s.told[id]) && final(st.Status) && st.Status != s.told[id] {
		broken("went_back")
	}
	if st.Status == wire.Cancelled && !s.world.MayBeCancelled(id) {
		broken("went_back (nobody has asked for it)")
	}
	if at := s.world.CancelledAt(id); at != 0 && s.now-at > s.world.CancelIn && !final(st.Status) {
		broken("orphaned")
	}
	if st.Status == wire.Done && !s.world.Done(id) {
		broken("not_done")
	}
	if st.Status == wire.Cancelled && j.Cancelled == 0 {
		j.Cancelled = s.now
	}
	if final(s.told[id]) {
		return
	}
	if s.told[id] == "" {
		s.known[id] = s.now
	}
	news := s.told[id] == "" || final(st.Status)
	s.told[id] = st.Status
	if news {
		s.lookClosely(id)
	}
}

// Leader names the node that holds the claim, or "none".
func (s *Sim) Leader() string {
	var c struct {
		Node string `msgpack:"node"`
	}
	it := s.state.Get(job.Root + "leader")
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
