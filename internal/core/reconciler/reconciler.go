// Package reconciler commands the workers of the machines that a node owns: it hears what they
// say, tells them what the records ask of them, and proves what is over. It starts nothing
// that isn't committed, and calls nothing over without proof.
package reconciler

import (
	"maps"
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const callRetryInterval = config.Second

// Listener is who has the records written, and hears what is news to it.
type Listener interface {
	WorkerJoined(*zone.Machine)                                   // its worker has said its first word
	MachineChanged(*zone.Machine)                                 // something about it has changed
	AvailabilityChanged(*zone.Machine)                            // what it can offer at all may have changed
	ImagesChanged(*zone.Machine)                                  // it is believed to have other images from now on
	CacheGB(*zone.Machine) float64                                // how much of images it keeps; 0: not known
	TaskRunning(key job.AttemptKey)                               // a task runs
	TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) // a task has ended, by its worker's word
	ClosePlacement(key job.AttemptKey, machine string, done bool) // proof that a placement is over
	IsClosing(key job.AttemptKey, machine string) bool            // whether that was proven before
}

type termination struct {
	since Micros
	grace float64
}

// Reconciler is one node's.
type Reconciler struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	elector  *election.Elector // by whose token it commands
	listener Listener

	active       bool // the records have been read since the claim
	registry     *zone.Registry
	unfenced     map[*zone.Machine]bool                    // those that have not followed this token yet
	unreachable  map[*zone.Machine]bool                    // those that seem not to get what they are sent
	urgent       []*zone.Machine                           // those with commands that should not wait
	terminations map[string]map[job.AttemptKey]termination // by job: what is to end
}

// New returns an owner of nothing.
func New(cfg *config.Config, box *outbox.Outbox, replica *records.Replica, claim *election.Elector, to Listener) *Reconciler {
	o := &Reconciler{cfg: cfg, outbox: box, replica: replica, elector: claim, listener: to}
	o.Reset()
	return o
}

// Reset forgets what is only of use under one claim. Addresses and images stay true.
func (o *Reconciler) Reset() {
	old := o.registry
	o.active, o.registry = false, zone.NewRegistry()
	o.unfenced, o.urgent, o.terminations = map[*zone.Machine]bool{}, nil, map[string]map[job.AttemptKey]termination{}
	o.unreachable = map[*zone.Machine]bool{}
	if old == nil {
		return
	}
	for _, m := range old.All() {
		fresh := zone.New(m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.RentedAt)
		fresh.Images = m.Images
		o.registry.Add(fresh)
	}
}

// Activate begins to command: the records have been read since the claim.
func (o *Reconciler) Activate() {
	o.active = true
	for _, name := range o.replica.OccupiedMachines() {
		o.EnsureMachine(name)
	}
	for _, m := range o.registry.All() {
		o.unfenced[m] = true
	}
}

// Registry lists the machines.
func (o *Reconciler) Registry() *zone.Registry { return o.registry }

// IsTerminating tells whether a task is to end.
func (o *Reconciler) IsTerminating(key job.AttemptKey) bool {
	_, ok := o.terminations[key.Job][key]
	return ok
}

// IsTerminatingAny tells whether any task of a job is to end.
func (o *Reconciler) IsTerminatingAny(id string) bool { return len(o.terminations[id]) > 0 }

// TerminationDone forgets that a task is to end: it has.
func (o *Reconciler) TerminationDone(key job.AttemptKey) {
	if delete(o.terminations[key.Job], key); len(o.terminations[key.Job]) == 0 {
		delete(o.terminations, key.Job)
	}
}

// JobTerminated does so for a whole job.
func (o *Reconciler) JobTerminated(id string) { delete(o.terminations, id) }

// EnsureMachine returns a machine, made if need be.
func (o *Reconciler) EnsureMachine(name string) *zone.Machine {
	m := o.registry.Get(name)
	if m == nil {
		m = zone.New(name, "", "", "", false, o.outbox.Now())
		o.registry.Add(m)
		if o.active {
			o.unfenced[m] = true
			o.listener.MachineChanged(m)
		}
	}
	if m.AmbiguousToken == 0 && o.elector.TermStart() > 0 {
		m.AmbiguousToken = o.elector.TermStart() - 1 // predecessors' commands may be on their way
	}
	return m
}

// HandleHeartbeat takes a worker's report and answers it.
func (o *Reconciler) HandleHeartbeat(x msg.HeartbeatIn) {
	r := &x.Heartbeat
	m := o.EnsureMachine(r.Machine)
	if !o.receive(m, r, true) {
		o.outbox.RetryLater(x.RequestID, "older than another report")
		return
	}
	orders := o.commands(m, true)
	o.checkCarriedOut(m, orders)
	if containsStart(orders) {
		m.NoteReply(orders)
	}
	m.Reachability.NoteAnswered(o.outbox.Now())
	o.outbox.Respond(x.RequestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: o.elector.FencingToken(), Commands: orders})
}

// receive takes what a worker has told this node itself.
func (o *Reconciler) receive(m *zone.Machine, r *wire.Heartbeat, isReport bool) bool {
	if !o.Observe(m, r, isReport) {
		return false
	}
	m.Relayed = false
	o.registry.NoteContact(m, o.outbox.Now())
	o.listener.AvailabilityChanged(m)
	return true
}

// Observe takes a worker's message, by whichever way it came, and draws the
// conclusions.
func (o *Reconciler) Observe(m *zone.Machine, r *wire.Heartbeat, isReport bool) bool {
	first, session, token, had, mute := m.Incarnation == 0, m.Incarnation, m.FencingToken, m.Tasks, m.SilentSince
	if !m.ApplyHeartbeat(o.outbox.Now(), r, isReport) {
		return false
	}
	if (m.SilentSince != 0) != (mute != 0) {
		o.listener.MachineChanged(m)
	}
	if !first && m.Incarnation > session && m.Reachability.NoteLeaseExpired(o.outbox.Now(), config.FromSeconds(o.cfg.Cluster.Workers.LeaseS)) {
		o.markUnreachable(m, "its lease expired though its heartbeats were answered")
	}
	if first {
		o.outbox.Log("worker joined", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "after_ms", (o.outbox.Now()-m.RentedAt)/1000)
		o.listener.WorkerJoined(m)
	}
	expected := o.replica.PlacementsOn(m.Name)
	for _, key := range job.SortedAttemptKeys(expected) {
		switch p := expected[key]; {
		case p.Session < m.Incarnation:
			o.listener.ClosePlacement(key, m.Name, false) // a later session: everything of the earlier one is gone
		case p.Session > m.Incarnation && m.FencingToken >= o.elector.TermStart() && !m.IncarnationReset:
			// Whoever placed it had heard of that session, and this was sent after our
			// claim. A worker that counts from the start again may be about to do things that
			// it was told before; only its deletion proves anything.
			m.IncarnationReset = true
			o.outbox.Log("worker incarnation reset", "machine", m.Name, "incarnation", m.Incarnation, "placed_in", p.Session)
			o.listener.MachineChanged(m)
		}
	}
	if m.ReclaimedAt != 0 {
		o.evictGracefully(m)
	}
	if !first && m.FencingToken > token {
		o.markReachable(m)
	}
	images := map[string]float64{}
	for _, key := range job.SortedAttemptKeys(m.Tasks) {
		t := m.Tasks[key]
		if j := o.replica.Job(key.Job); j != nil && j.Record.Spec != nil && t.State != wire.Fetching && t.State != wire.Exited {
			images[j.Record.Spec.Image] = j.Record.Spec.ImageGB
		}
		p, ok := expected[key]
		if !ok || p.Session != m.Incarnation {
			continue
		}
		if _, known := had[key]; !known && !first && m.Incarnation == session {
			o.markReachable(m) // it has carried out a start
		}
		switch t.State {
		case wire.Running:
			o.listener.TaskRunning(key)
		case wire.Exited:
			o.listener.TaskExited(m, key, &t)
		}
	}
	if m.Images.Update(o.listener.CacheGB(m), images) {
		o.listener.ImagesChanged(m)
	}
	return true
}

// evictGracefully stops what can still save before the cloud takes the machine.
func (o *Reconciler) evictGracefully(m *zone.Machine) {
	for _, key := range job.SortedAttemptKeys(o.replica.PlacementsOn(m.Name)) {
		j := o.replica.Job(key.Job)
		if j == nil || j.Record.Spec == nil || j.Record.Spec.CheckpointS == 0 {
			continue
		}
		if left := m.ReclaimedAt - o.outbox.Now(); left > config.FromSeconds(j.Record.Spec.SaveS) {
			o.Terminate(j, map[job.AttemptKey]bool{key: true}, "spot machine reclaimed")
		}
	}
}

// commands lists everything a worker should do, given its newest message and the
// records. Forgetting is left to reports' answers: it is never urgent.
func (o *Reconciler) commands(m *zone.Machine, reply bool) []wire.Command {
	orders := []wire.Command{}
	expected := o.replica.PlacementsOn(m.Name)
	for _, key := range job.SortedAttemptKeys(m.Tasks) {
		t := m.Tasks[key]
		if t.State == wire.Exited {
			// After forgetting, a repeated start takes effect again: only when
			// the end is committed and no start can still be on its way.
			if _, open := expected[key]; !open && reply && m.Settled() {
				orders = append(orders, wire.Command{Verb: wire.CommandForget, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			}
			continue
		}
		grace, stop := o.shouldStop(m, key, &t)
		if _, open := expected[key]; !open {
			grace, stop = 0, true // closed by mistake or never placed: never let it run
		}
		if stop {
			orders = append(orders, wire.Command{Verb: wire.CommandStop, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt, GraceS: &grace})
		}
	}
	for _, key := range job.SortedAttemptKeys(expected) {
		if _, seen := m.Tasks[key]; seen || expected[key].Session != m.Incarnation {
			continue
		}
		if j := o.replica.Job(key.Job); j != nil && o.listener.IsClosing(key, m.Name) {
			// Its end is proven and only not committed yet: a start now would run
			// beside the one that follows elsewhere.
			continue
		}
		if _, unwanted := o.shouldStop(m, key, nil); !unwanted {
			orders = append(orders, wire.Command{Verb: wire.CommandStart, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			continue
		}
		if m.Settled() {
			o.listener.ClosePlacement(key, m.Name, false) // never started, and nothing can start it any more
		} else if reply && !m.StartInFlight && m.StartUncertain() {
			o.elector.RequestNewToken()
		}
	}
	return orders
}

// shouldStop tells whether a task is to be stopped, and with how much grace.
func (o *Reconciler) shouldStop(m *zone.Machine, key job.AttemptKey, t *zone.Task) (float64, bool) {
	j := o.replica.Job(key.Job)
	if j == nil || j.Record.CancelRequested || j.Record.Final() && j.Record.Phase == job.Cancelled {
		return 0, true
	}
	if s, ok := o.terminations[j.ID][key]; ok {
		overdue := s.since + config.FromSeconds(s.grace+o.cfg.Cluster.Workers.GangPeerS) + 10*config.Second
		if t != nil && o.outbox.Now() > overdue {
			return 0, true
		}
		return s.grace, true
	}
	if t != nil && j.Record.Phase == job.Done && j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		return 0, true
	}
	return 0, false
}

// Terminate asks for the end of tasks. All tasks of a gang are stopped together.
func (o *Reconciler) Terminate(j *records.Job, only map[job.AttemptKey]bool, why string) {
	if j.Record.Spec == nil {
		return
	}
	grace := 0.0
	if j.Record.Spec.CheckpointS > 0 {
		grace = j.Record.Spec.SaveS + 0.5
	}
	if o.terminations[j.ID] == nil {
		o.terminations[j.ID] = map[job.AttemptKey]termination{}
	}
	j.EachPlacement(func(p job.Placement) {
		key := p.AttemptKey(j.ID)
		if _, had := o.terminations[j.ID][key]; had || only != nil && j.Record.Spec.Shape != wire.Gang && !only[key] {
			return
		}
		o.terminations[j.ID][key] = termination{o.outbox.Now(), grace}
		if m := o.registry.Get(p.Machine); m != nil {
			o.MarkUrgent(m)
		}
	})
	o.outbox.Debug("terminating tasks", "job", j.ID, "reason", why)
}

// MarkUrgent notes that a machine has commands that should not wait.
func (o *Reconciler) MarkUrgent(m *zone.Machine) {
	if !m.Urgent {
		m.Urgent = true
		o.urgent = append(o.urgent, m)
	}
}

// SendUrgent makes the direct calls that should not wait for a report.
func (o *Reconciler) SendUrgent() {
	if o.elector.TokenChangePending() || len(o.urgent) == 0 {
		return
	}
	waiting := o.urgent
	o.urgent = nil
	for _, m := range waiting {
		if m.Releasing || o.registry.Get(m.Name) != m {
			m.Urgent = false
			continue
		}
		if m.CallInFlight || m.Addr == "" || o.outbox.Now() < m.NextCallAt {
			o.urgent = append(o.urgent, m)
			continue
		}
		m.Urgent = false
		if m.Incarnation == 0 {
			continue
		}
		if orders := o.commands(m, false); len(orders) > 0 {
			o.call(m, orders)
		}
	}
}

// containsStart tells whether any order is a start.
func containsStart(orders []wire.Command) bool {
	return slices.ContainsFunc(orders, func(x wire.Command) bool { return x.Verb == wire.CommandStart })
}

func (o *Reconciler) call(m *zone.Machine, orders []wire.Command) {
	id := o.outbox.NextID()
	m.NoteCall(o.outbox.Now(), id, o.elector.FencingToken(), containsStart(orders))
	o.outbox.Emit(msg.Command{ID: id, Machine: m.Name, Addr: m.Addr, Commands: wire.CommandRequest{FencingToken: o.elector.FencingToken(), Incarnation: max(m.Incarnation, 1), Commands: orders}})
}

// CommandDone hears how a direct call went.
func (o *Reconciler) CommandDone(x msg.CommandDone) {
	m := o.registry.Get(x.Machine)
	if !o.active || m == nil {
		return
	}
	m.NoteCallDone(x.ID, x.Outcome == msg.Unknown)
	if x.Outcome != msg.OK {
		m.NextCallAt = o.outbox.Now() + callRetryInterval
		m.WantsFullHeartbeat = true // the orders have to go by the answer to a report
	}
	if r := x.Heartbeat; r != nil && r.Machine == m.Name {
		o.markReachable(m)
		if r.FencingToken > o.elector.FencingToken() && !o.elector.TokenChangePending() {
			o.elector.Resign("a worker has seen a higher fencing token")
			return
		}
		o.receive(m, r, false)
	}
}

// AnnounceToken shows our token to machines that have not followed us yet. That
// frees workers that a cut-off predecessor still answers.
func (o *Reconciler) AnnounceToken() {
	for _, m := range slices.SortedFunc(maps.Keys(o.unfenced), zone.ByName) {
		if m.FencingToken >= o.elector.TermStart() || !m.Registered() {
			delete(o.unfenced, m)
			continue
		}
		if m.Addr == "" || m.CallInFlight || m.Releasing || o.outbox.Now() < m.NextCallAt {
			continue
		}
		m.NextCallAt = o.outbox.Now() + 2*config.Second
		o.call(m, nil)
	}
}

// checkCarriedOut holds what a worker is told now against what the answer before told it: a start that is
// still to be made has not been carried out.
func (o *Reconciler) checkCarriedOut(m *zone.Machine, orders []wire.Command) {
	if m.ReplySequence == 0 {
		return
	}
	all := !slices.ContainsFunc(orders, func(x wire.Command) bool { return x.Verb == wire.CommandStart && m.StartsInReply[x.Task] == x.Attempt })
	if m.Reachability.NoteCarriedOut(o.outbox.Now(), all) {
		o.markUnreachable(m, "it does not carry out commands")
	}
}

// markUnreachable has a machine given no more work, and tried whether it hears.
func (o *Reconciler) markUnreachable(m *zone.Machine, why string) {
	o.outbox.Log("machine unreachable", "machine", m.Name, "reason", why, "episodes", m.Reachability.Episodes)
	o.unreachable[m] = true
	o.listener.MachineChanged(m)
}

// markReachable notes that something sent to a worker has reached it.
func (o *Reconciler) markReachable(m *zone.Machine) {
	if m.Reachability.NoteReceived(o.outbox.Now()) {
		o.outbox.Log("machine reachable again", "machine", m.Name)
		delete(o.unreachable, m)
		o.listener.MachineChanged(m)
	}
}

// ProbeUnreachable calls the workers that seem deaf, now and then, with nothing to do.
func (o *Reconciler) ProbeUnreachable() {
	for _, m := range slices.SortedFunc(maps.Keys(o.unreachable), zone.ByName) {
		if !m.Registered() {
			delete(o.unreachable, m)
			continue
		}
		if m.Addr != "" && !m.CallInFlight && !m.Releasing && m.Reachability.ProbeDue(o.outbox.Now()) {
			o.call(m, nil)
		}
	}
}

// ProbeSilent calls workers that have been quiet: it may be only their reports that
// don't come through.
func (o *Reconciler) ProbeSilent() {
	o.registry.EachSilent(o.outbox.Now()-o.cfg.SilenceLimit()/2+1, func(m *zone.Machine) {
		if m.Incarnation != 0 && m.Addr != "" && !m.CallInFlight && !m.Releasing && o.outbox.Now() >= m.NextCallAt {
			m.NextCallAt = o.outbox.Now() + callRetryInterval
			o.call(m, o.commands(m, false))
		}
	})
}
