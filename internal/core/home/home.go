// Package home serves workers on behalf of a leader elsewhere.
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
package home

import (
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// MailPrefix is where a node's mail to the leader is, by its name.
const MailPrefix = job.Root + "mail/"

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Home is one node's.
type Home struct {
	cfg     *config.Config
	box     *outbox.Box
	replica *records.Replica
	form    *records.Form
	leader  *claim.Claim

	location map[string]string // of every node
	heard    map[string]Micros // when a peer was last heard
	visits   map[string]visit

	taken  map[string]taken // by machine
	beats  []msg.Heard      // workers answered for the leader since the last beat
	beatAt Micros
	grant  grant

	passed Micros // when the leader's claim was heard of first
	led    bool   // the leader has answered as such since

	mailbox map[string]Line // for the leader, by way of the state service
	mailed  map[string]Line // what was sent last
	mailOut bool
	mailAt  Micros
}

// New returns the home that a node is to the workers near it.
func New(cfg *config.Config, box *outbox.Box, replica *records.Replica, form *records.Form, leader *claim.Claim) *Home {
	h := &Home{cfg: cfg, box: box, replica: replica, form: form, leader: leader, location: map[string]string{cfg.Node: cfg.Location},
		heard: map[string]Micros{}, visits: map[string]visit{}, taken: map[string]taken{}, mailbox: map[string]Line{}, mailed: map[string]Line{}}
	for _, p := range cfg.Peers {
		h.location[p.Node] = p.Location
	}
	return h
}

// Tick does what is due by time alone. A node that leads owes nobody a report.
func (h *Home) Tick(leads bool) {
	h.forgetWorkers()
	h.sendBeat(leads)
	h.sendMail()
}

// HolderChanged hears that somebody has written a claim to lead.
func (h *Home) HolderChanged(from, to string) {
	if from != to {
		h.heard[to] = h.box.Now()
		h.passed, h.led = h.box.Now(), false
	}
	clear(h.mailed) // a new leader has not read it
}

// grant is a leader's word that this node may stand in for it, though its copy of the
// records gets old: the leader tells no cancellation that this node has not confirmed to
// know of as long as the grant lasts.
type grant struct {
	claim uint64 // under which it was given
	until Micros
}

// taken is a report that a leader has taken with nothing to say to it.
type taken struct {
	leader  uint64 // version of its claim
	session uint64
	at      Micros
	tasks   []wire.TaskReport
}

// visit remembers a worker that was sent to its home.
type visit struct {
	sent      Micros
	stayUntil Micros // it came back: its home is out of its reach
}

// Line is a report in the leader's mail.
type Line struct {
	//lint:ignore U1000 read by the encoder: a line is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Machine  string
	Session  uint64
	Seq      uint64
	Token    uint64
	NoticeS  *float64
	Tasks    []Task
	at       Micros
}

// Task is a task of a Line.
type Task struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  uint64
	State    string
	Cause    string
	Saved    bool
}

// unheard is after how long without a word from the leader a node stands in.
const unheard = 2500 * 1000

// mailShare is the part of all changes that one node's mail may take.
const mailShare = 0.1

// beatEvery is how often the leader hears of the workers answered for it.
const beatEvery = 400 * 1000

// grantEvery is how often the leader hears of this node though there is nothing to tell.
const grantEvery = config.Second

// takenFor is how long a home answers for the leader before it hands on a report
// though it says nothing new.
const takenFor = 10 * config.Second

// stay is how long a worker that can't reach its home is served elsewhere.
const stay = 20 * config.Second

// PeerHeard notes that a peer has answered.
func (h *Home) PeerHeard(x msg.PeerHeard) { h.heard[x.Node] = h.box.Now() }

// alive tells whether a node has been heard lately.
func (h *Home) alive(node string) bool {
	return node == h.cfg.Node || h.box.Now()-h.heard[node] <= unheard
}

// of picks the node that a worker should report to: the leader if it is in
// the worker's zone, or else some node there; "" if none is heard.
func (h *Home) of(r *wire.Report) string {
	if h.location[h.leader.Holder().Node] == r.Zone && h.alive(h.leader.Holder().Node) {
		return h.leader.Holder().Node
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

// SendHome redirects a worker to its home, unless it is there or has just come
// back from a home that it can't reach.
func (h *Home) SendHome(x msg.ReportIn) bool {
	home := h.of(&x.Report)
	if home == "" || home == h.cfg.Node {
		return false
	}
	v := h.visits[x.Report.Machine]
	if h.box.Now() < v.stayUntil {
		return false
	}
	if v.sent != 0 && h.box.Now()-v.sent < 3*unheard {
		h.visits[x.Report.Machine] = visit{stayUntil: h.box.Now() + stay}
		return false
	}
	h.visits[x.Report.Machine] = visit{sent: h.box.Now()}
	h.box.Answer(x.Req, http.StatusMisdirectedRequest, wire.Redirect{Node: home})
	return true
}

// maxRemembered is how many workers are remembered before those that are of no
// more use are forgotten.
const maxRemembered = 1000

func (h *Home) forgetWorkers() {
	if len(h.visits) > maxRemembered {
		maps.DeleteFunc(h.visits, func(_ string, v visit) bool { return h.box.Now() > max(v.stayUntil, v.sent+3*unheard) })
	}
	if len(h.taken) > maxRemembered {
		maps.DeleteFunc(h.taken, func(_ string, t taken) bool { return h.box.Now()-t.at > takenFor })
	}
	if len(h.mailed) > maxRemembered {
		maps.DeleteFunc(h.mailed, func(_ string, l Line) bool { return h.box.Now()-l.at > h.cfg.Silence() })
	}
}

// Relay serves a worker whose leader is elsewhere.
func (h *Home) Relay(x msg.ReportIn) {
	r := &x.Report
	switch {
	case h.SendHome(x):
	case !h.alive(h.leader.Holder().Node) && r.Token <= h.leader.Holder().Version:
		h.standIn(x, true)
	case h.quiet(r):
		h.beats = append(h.beats, msg.Heard{Machine: r.Machine, Session: r.Session, Seq: r.Seq})
		h.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: h.leader.Holder().Version, Orders: []wire.Order{}})
	default:
		delete(h.taken, r.Machine)
		h.box.Emit(msg.Forward{Req: x.Req, Node: h.leader.Holder().Node, Report: *r})
	}
}

// fresh tells whether this node's copy of the records is recent enough to answer
// workers by. What it doesn't know may be that a job was cancelled and its user
// told so, after its copy was current. So it stops answering early enough for the
// lease of such a worker to end within the time that a cancellation has, unless the
// leader has given its word to tell of none.
func (h *Home) fresh() bool {
	w := &h.cfg.Cluster.Workers
	return h.box.Now()-h.replica.CurrentAt() < config.FromSeconds(w.CancelS-w.LeaseS)-4*config.Second || h.granted()
}

// granted tells whether the leader's word holds.
func (h *Home) granted() bool {
	return h.grant.claim == h.leader.Holder().Version && h.box.Now() < h.grant.until
}

// quiet tells whether a report says only what the leader has taken before, and
// the records ask nothing of the worker.
func (h *Home) quiet(r *wire.Report) bool {
	t, ok := h.taken[r.Machine]
	expected := h.replica.OpenOn(r.Machine)
	if !ok || t.leader != h.leader.Holder().Version || t.session != r.Session || h.box.Now()-t.at > takenFor || r.Token != h.leader.Holder().Version ||
		r.NoticeS != nil || len(expected) != len(r.Tasks) || !slices.Equal(t.tasks, r.Tasks) || !h.fresh() {
		return false
	}
	for i := range r.Tasks {
		id, n, ok := wire.ParseTaskName(r.Tasks[i].Task)
		if !ok || r.Tasks[i].State == wire.Exited {
			return false
		}
		p, open := expected[job.Key{Job: id, Task: n, Attempt: r.Tasks[i].Attempt}]
		if j := h.replica.Job(id); !open || p.Session != r.Session || j.Rec.Cancel || j.Rec.Final() {
			return false
		}
	}
	return true
}

// sendBeat tells the leader of the workers answered for it, and how much of the records
// this node knows.
func (h *Home) sendBeat(leads bool) {
	if h.box.Now() < h.beatAt || len(h.beats) == 0 && h.box.Now() < h.beatAt+grantEvery-beatEvery {
		return
	}
	h.beatAt = h.box.Now() + beatEvery
	if !leads && h.leader.Elsewhere() != "" {
		h.box.Emit(msg.Beat{Node: h.leader.Holder().Node, Claim: h.leader.Holder().Version, Sent: h.box.Now(), Revision: h.replica.Revision(), Heard: h.beats})
	}
	h.beats = nil
}

// Marked hears that a job is to be cancelled. The leader may wait for word that this node
// knows.
func (h *Home) Marked() {
	if h.granted() {
		h.beatAt = h.box.Now() - grantEvery
	}
}

// BeatDone hears what the leader says to a beat.
func (h *Home) BeatDone(x msg.BeatDone) {
	for _, name := range x.Wanted {
		delete(h.taken, name)
	}
	if x.StandIn > 0 && x.Beat.Claim == h.leader.Holder().Version {
		h.led = true
		if h.grant.claim != x.Beat.Claim {
			h.grant = grant{claim: x.Beat.Claim}
		}
		h.grant.until = max(h.grant.until, x.Beat.Sent+x.StandIn) // answers may overtake each other
	}
}

// ForwardDone passes on the leader's answer, or stands in for it.
func (h *Home) ForwardDone(x msg.ForwardDone) {
	r := &x.Report
	if x.Answer != nil {
		h.led = h.led || x.Answer.Token == h.leader.Holder().Version
		if len(x.Answer.Orders) == 0 && x.Answer.Token == h.leader.Holder().Version {
			h.taken[r.Machine] = taken{h.leader.Holder().Version, r.Session, h.box.Now(), r.Tasks}
		}
		h.box.Answer(x.Req, http.StatusOK, *x.Answer)
		return
	}
	if h.leader.Held() || h.leader.Elsewhere() == "" || r.Token > h.leader.Holder().Version {
		h.box.Later(x.Req, "no leader")
		return
	}
	h.standIn(msg.ReportIn{Req: x.Req, Report: x.Report}, !x.Busy)
}

// standIn answers a report in the place of a leader that can't be reached, if
// this node's copy of the records is fresh. One that is only busy gets no mail: that would
// cost it more than the report does, which comes again.
func (h *Home) standIn(x msg.ReportIn, mail bool) {
	begun := h.begun()
	if !begun && h.KeepsAlive(x) {
		return
	}
	// One that has seen no token has nothing to lose, and would bring this one to the old leader.
	if !begun && x.Report.Token == 0 || !h.fresh() {
		h.box.Later(x.Req, "not the leader")
		return
	}
	if h.answer(x, h.leader.Holder().Version) && mail {
		h.mail(&x.Report)
	}
}

// settled is how long after a claim its holder is taken to have read the records, if the state
// service has answered this node since.
const settled = 2 * config.Second

// begun tells whether the leader is believed to have read the records since its claim. Before
// that it answers nobody, and a worker that has seen its token can be kept alive by no one else: not by the
// leader before it, and by homes only as long as their copies are recent. If the state service goes down between
// a claim and the listing, that would be every worker.
func (h *Home) begun() bool { return h.led || h.replica.CurrentAt() >= h.passed+settled }

// KeepsAlive answers a worker that has seen no token of the leader's reign by the token that it has
// seen, if it may: it returns false if not. However old the copy gets, a task of a cancelled job isn't
// kept by that. What leaders before this reign have told is in the copy, if that goes up to the reign's
// first claim: their transactions fail from then on. What this leader tells, or one after it,
// rests on workers that have seen its token, and those drop this answer.
func (h *Home) KeepsAlive(x msg.ReportIn) bool {
	base := h.leader.Holder().Base
	if x.Report.Token == 0 || x.Report.Token >= base || h.replica.Revision() < base {
		return false
	}
	h.answer(x, x.Report.Token)
	return true
}

// answer answers a worker by a token, and has it stop what is cancelled. It returns false if it
// could not, because the worker has a task that this node's copy doesn't know of.
func (h *Home) answer(x msg.ReportIn, token uint64) bool {
	orders := []wire.Order{}
	for _, t := range x.Report.Tasks {
		id, _, ok := wire.ParseTaskName(t.Task)
		if !ok || t.State == wire.Exited {
			continue
		}
		j := h.replica.Job(id)
		if j == nil {
			h.box.Later(x.Req, "not the leader")
			return false
		}
		if j.Rec.Cancel || j.Rec.Phase == job.Cancelled {
			grace := 0.0
			orders = append(orders, wire.Order{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	delete(h.taken, x.Report.Machine)
	h.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: token, Orders: orders})
	return true
}

// mail puts a report into the leader's mail, unless it was sent a moment ago.
func (h *Home) mail(r *wire.Report) {
	l := Line{Machine: r.Machine, Session: r.Session, Seq: r.Seq, Token: r.Token, NoticeS: r.NoticeS, at: h.box.Now()}
	for _, t := range r.Tasks {
		l.Tasks = append(l.Tasks, Task{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	// An unchanged report tells that the worker is alive, while it may be thought dead.
	if !l.news(h.mailed[r.Machine]) && h.box.Now()-h.mailed[r.Machine].at < h.cfg.Silence()/2 || len(h.mailbox) > maxRemembered {
		return
	}
	h.mailbox[r.Machine] = l
}

// news tells whether a line says more than an earlier one.
func (l Line) news(old Line) bool {
	return l.Session != old.Session || !slices.Equal(l.Tasks, old.Tasks)
}

// sendMail writes what is in the mailbox, as much as one value has room for and
// what says something new first.
func (h *Home) sendMail() {
	if len(h.mailbox) == 0 || h.mailOut || h.box.Now() < h.mailAt || h.leader.Holder().Version == 0 {
		return
	}
	var lines []Line
	for _, name := range slices.Sorted(maps.Keys(h.mailbox)) {
		lines = append(lines, h.mailbox[name])
	}
	sort.SliceStable(lines, func(i, j int) bool {
		return lines[i].news(h.mailed[lines[i].Machine]) && !lines[j].news(h.mailed[lines[j].Machine])
	})
	value, err := job.Encode(lines)
	for err == nil && !h.form.Fits(value) {
		if len(lines) == 1 {
			delete(h.mailbox, lines[0].Machine) // never fits: the leader has to hear of it otherwise
			return
		}
		lines = lines[:len(lines)*3/4]
		value, err = job.Encode(lines)
	}
	if err != nil {
		return
	}
	h.mailOut, h.mailAt = true, h.box.Now()+h.form.Pause(mailShare)
	h.box.Commit(wire.Commit{
		Guards:  []wire.Guard{h.leader.HoldersGuard()},
		Changes: []wire.Change{{Put: MailPrefix + h.cfg.Node, Value: value}},
	}, msg.ForMail, func(d msg.CommitDone) {
		h.mailOut = false
		if d.Outcome != msg.OK {
			return
		}
		for _, l := range lines {
			h.mailed[l.Machine] = l
			if h.mailbox[l.Machine].Seq == l.Seq {
				delete(h.mailbox, l.Machine)
			}
		}
	})
}
