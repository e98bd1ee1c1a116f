package scenario

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/slo"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// TestScenarios plays every script of testdata. The commands:
//
//	world nodes=3                   a new world, run until there is a leader;
//	                                held=n1+n2: lower limits are announced, and
//	                                these nodes are held to the first format;
//	                                lease=10s, report=2s: of workers, else 4 s and 1 s; cancel=40s: a
//	                                cancellation's time, else 20 s; scale=3, quota=25: as many times the
//	                                machines, and so many changes a second
//	                                hang_keeps: a machine that hangs beyond its lease has its tasks until it goes on
//	                                boot=2s: of machines; unlisted=5s: the cloud lists them so late
//	looks cancel=0.2 at_end=0.3 seed=1
//	                                users ask at all nodes again and again right after a job is accepted or over, and
//	                                repeat its submission; such parts of jobs are cancelled then, or as the last task ends
//	weather late_writes=0.2 seed=3  such parts of messages are late or lost from now on; see weather
//	until ...                       time passes until a job or the world is so; two minutes at most
//	await heir                      until another than the old leader has the claim, for 8 s at most
//	withdraw id=j-1                 its user cancels, again and again until it is told
//	revive                          all nodes that have ended start
//	again node=n1 count=5           copies of reports come again, to one node
//	announce                        nodes that start from now on are told of limits to come
//	limits next                     the state service has its new limits
//	keys under=ch/part/             how many keys there are
//	submit id=j-1 shape=array ...   a user submits; prints the answer; count=3
//	                                adds j-11 and j-12
//	poll id=j-1 node=n2             a user asks
//	cancel id=j-1                   a user cancels, again until it is final
//	run for=5s                      time passes
//	node node=n1 kill|start|upgrade a node ends or starts, held to no format any more;
//	                                kill on=ch/x after: the node whose next transaction
//	                                writes a key there ends with it, before it takes effect
//	                                or after
//	served                          what the leader says was served, by class and team
//	waits id=j-1 node=leader        why it waits, by the leader
//	accounts node=n1                what it says that teams have used
//	busy node=n1 for=3s             its loop takes so long for one input
//	cut node=n1 link=state mode=hold / heal node=n1; with keep, what was held
//	                                back stays so until the next heal
//	                                mode=stall of state: as hold, and the node waits for an answer
//	  links: state, watch, answer (to one transaction), workers, peers, cloud
//	zone name=a cut mode=hold       its nodes and machines reach only each other, until a heal of all
//	state down|up, cloud down|up    outages
//	machine name=m-000000 hang|resume|fail|sound|die
//	machine nth=3 ...               the machine of that number, modulo how many there are
//	machine name=m-000000 deaf|hears its reports arrive, nothing reaches it
//	machine name=m-000000 only=old  no other node reaches it, nor it them, until only=any
//	machine name=m-000000 mute|speaks its reports reach nobody, commands reach it
//	machine name=m-000000 restart   it is back within half a second with the next session;
//	                                anew: its worker remembers nothing
//	report hold / report late       a worker's report is held back, arrives
//	starts id=j-1                   how often tasks were started
//	show                            leader, machines, tasks
//
// "leader" stands for the node that leads, "old" for the last that was cut off as the leader,
// "heir" for the leader if it is another. Rules that were broken are printed
// by whichever command comes next, so that no script can overlook them.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		var s *Sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			if d.Cmd == "world" {
				s = newScriptSim(t, d)
				return "leader " + s.leader() + "\n"
			}
			out := runCommand(t, s, d)
			for _, b := range s.env.Broken {
				out += "BROKEN " + b + "\n"
			}
			if out == "" {
				out = "ok\n"
			}
			return out
		})
	})
}

// newScriptSim makes the world of a script and runs it until there is a leader.
func newScriptSim(t *testing.T, d *datadriven.TestData) *Sim {
	t.Helper()
	nodes, scale, quota, held := 3, 1, 0, ""
	d.MaybeScanArgs(t, "nodes", &nodes)
	d.MaybeScanArgs(t, "scale", &scale)
	d.MaybeScanArgs(t, "quota", &quota)
	s := newSimOfScale(nodes, scale, float64(quota))
	if d.HasArg("held") {
		d.MaybeScanArgs(t, "held", &held)
		s = newSimWithUpgrade(nodes, scale, float64(quota), strings.Split(held, "+"))
	}
	s.env.Lease = durationArg(t, d, "lease", "4s")
	s.env.CancelIn = durationArg(t, d, "cancel", "20s")
	s.env.Boot = durationArg(t, d, "boot", "2s")
	s.env.Types[0].BootS = float64(s.env.Boot) / 1e6
	s.env.Unlisted = durationArg(t, d, "unlisted", "0s")
	s.env.HangKeeps = d.HasArg("hang_keeps")
	s.heartbeatCopies = &heartbeatCopies{maxAge: 3 * s.env.Lease}
	s.env.ReportEvery = durationArg(t, d, "report", "1s")
	if d.HasArg("lease") || d.HasArg("cancel") || d.HasArg("report") || d.HasArg("unshared") {
		for _, n := range s.nodes {
			n.noPlacementPages = d.HasArg("unshared")
			s.start(n) // it is told of it
		}
	}
	s.run(3 * emulator.Second)
	return s
}

func nodeArg(t *testing.T, s *Sim, d *datadriven.TestData) *node {
	t.Helper()
	name := "n1"
	d.MaybeScanArgs(t, "node", &name)
	known := slices.Contains([]string{"leader", "old", "heir", "other", "others", "all"}, name) ||
		slices.ContainsFunc(s.nodes, func(n *node) bool { return n.name == name })
	if !known {
		t.Fatalf("%s: there is no node %q", d.Pos, name)
	}
	return s.resolveNode(name)
}

// resolveNode returns the node that a script's word stands for.
func (s *Sim) resolveNode(name string) *node {
	switch name {
	case "leader":
		name = s.leader()
	case "old": // the last that was cut off as the leader
		if s.deposedLeader != nil {
			name = s.deposedLeader.name
		}
	case "heir": // who leads by the records, if it isn't that one
		if name = s.leader(); s.deposedLeader != nil && name == s.deposedLeader.name {
			name = "none"
		}
	case "other":
		for _, n := range s.nodes {
			if n.name != s.leader() && n.alive {
				name = n.name
			}
		}
	}
	return s.node(name)
}

func durationArg(t *testing.T, d *datadriven.TestData, key, def string) emulator.Micros {
	t.Helper()
	d.MaybeScanArgs(t, key, &def)
	x, err := time.ParseDuration(def)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	if x < 0 {
		t.Fatalf("%s: %s=%s is negative", d.Pos, key, def)
	}
	return x.Microseconds()
}

func formatResponse(a msg.Respond) string {
	out := strconv.Itoa(a.Status)
	if a.Status == 0 {
		return "no answer\n"
	}
	if st, ok := a.Body.(wire.JobStatus); ok {
		out += " " + st.Status
	}
	if a.RetryAfter > 0 {
		out += fmt.Sprintf(" retry after %d s", a.RetryAfter)
	}
	return out + "\n"
}

func runCommand(t *testing.T, s *Sim, d *datadriven.TestData) string {
	t.Helper()
	id := "j-1"
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "served":
		a := s.request(s.node(s.leader()), func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryGauges} })
		g, ok := a.Body.(leader.Gauges)
		if !ok {
			return formatResponse(a)
		}
		out := ""
		shares := g.CompletedInTime
		if d.HasArg("begun") {
			shares = g.StartedInTime
		}
		for _, of := range []map[string]slo.Ratio{shares.Class, shares.Team, shares.Largest} {
			for _, name := range slices.Sorted(maps.Keys(of)) {
				out += fmt.Sprintf("%s %d of %d\n", name, of[name].Met, of[name].Jobs)
			}
		}
		return out
	case "waits":
		a := s.request(nodeArg(t, s, d), func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryWaitReason, JobID: id} })
		w, ok := a.Body.(leader.WaitReason)
		if !ok {
			return formatResponse(a)
		}
		return fmt.Sprintf("%s; rank %d of %d, before it %v, kept %v, yield %v\n", w.Reason, w.Rank, w.QueueLength, w.Ahead, w.ReservedMachines, w.PreemptedJobs)
	case "accounts":
		return formatUsage(nodeArg(t, s, d))
	case "busy":
		n := nodeArg(t, s, d)
		n.busyUntil = s.now + durationArg(t, d, "for", "3s")
		return ""
	case "submit":
		count := 1
		d.MaybeScanArgs(t, "count", &count)
		out := formatResponse(s.submit(nodeArg(t, s, d), jobArg(t, d, id)))
		for n := 1; n < count; n++ {
			s.submit(nodeArg(t, s, d), jobArg(t, d, fmt.Sprintf("%s%d", id, n)))
		}
		return out
	case "poll":
		asked := s.now
		a := s.poll(nodeArg(t, s, d), id)
		if s.now-asked >= pollTimeout {
			return "too late: " + formatResponse(a)
		}
		return formatResponse(a)
	case "cancel":
		return formatResponse(s.cancel(nodeArg(t, s, d), id))
	case "announce": // nodes that start from now on are told of the coming limits
		s.limitsAnnounced = true
		return ""
	case "limits":
		s.setStateLimits(d.HasArg("next"))
		return ""
	case "keys":
		under := ""
		d.MaybeScanArgs(t, "under", &under)
		return fmt.Sprintf("%d keys, %d refused for their size\n", len(s.state.List(under)), s.state.Refused)
	case "withdraw":
		s.cancelUntilFinal(id)
		return ""
	case "weather":
		s.messageFaults = messageFaultsArg(t, d)
		return ""
	case "looks":
		seed := uint64(1)
		d.MaybeScanArgs(t, "seed", &seed)
		s.closePolling = newClosePolling(seed, fractionArg(t, d, "cancel"), fractionArg(t, d, "at_end"))
		return ""
	case "revive":
		for _, n := range s.nodes {
			if !n.alive {
				s.start(n)
			}
		}
		return ""
	case "again":
		count := 1
		d.MaybeScanArgs(t, "count", &count)
		if named := ""; d.MaybeScanArgs(t, "node", &named) && named == "all" { // each of some copies reaches every node
			s.deliverCopiesToAll(rand.New(rand.NewPCG(uint64(s.now), 1)), count)
			return ""
		}
		s.deliverCopies(nodeArg(t, s, d), rand.New(rand.NewPCG(uint64(s.now), 1)), count)
		return ""
	case "run":
		s.run(durationArg(t, d, "for", "1s"))
		return ""
	case "await": // the heir's claim, if it comes soon
		for range 80 {
			if conditionMet(t, s, d, id) {
				return ""
			}
			s.run(tick)
		}
		return ""
	case "until":
		for range 1200 {
			if conditionMet(t, s, d, id) {
				return ""
			}
			s.run(tick)
		}
		return "never\n"
	case "node":
		n := nodeArg(t, s, d)
		switch {
		case d.HasArg("kill") && d.HasArg("on"): // with its next transaction that writes there
			d.ScanArgs(t, "on", &s.crash.keyPrefix)
			s.crash.afterCommit = d.HasArg("after")
		case d.HasArg("kill"):
			n.alive = false
		case d.HasArg("unshared"), d.HasArg("shared"): // it is set so, and restarted
			n.noPlacementPages = d.HasArg("unshared")
			s.start(n)
		case d.HasArg("upgrade"):
			n.formatHeld = false
			s.start(n)
		default:
			s.start(n)
		}
		return n.name + "\n"
	case "cut":
		n, link, mode := nodeArg(t, s, d), "state", "drop"
		d.MaybeScanArgs(t, "link", &link)
		d.MaybeScanArgs(t, "mode", &mode)
		if named := ""; d.MaybeScanArgs(t, "node", &named) && named == "others" { // all but the leader
			for _, o := range s.nodes {
				if o != s.resolveNode("leader") && o != s.deposedLeader {
					o.cutLinks[link] = mode
				}
			}
			return ""
		}
		if named := ""; d.MaybeScanArgs(t, "node", &named) && named == "leader" {
			s.deposedLeader = n
		}
		n.cutLinks[link] = mode
		return n.name + "\n"
	case "heal":
		if named := ""; d.MaybeScanArgs(t, "node", &named) && named == "all" {
			for _, n := range s.nodes {
				n.cutLinks = map[string]string{}
			}
			clear(s.reachableOnlyBy)
			s.isolatedZone = ""
			s.releaseHeld()
			return ""
		}
		nodeArg(t, s, d).cutLinks = map[string]string{}
		if !d.HasArg("keep") {
			s.releaseHeld()
		}
		return ""
	case "zone": // it has nothing but its own nodes and machines
		name, mode := "", "drop"
		d.ScanArgs(t, "name", &name)
		d.MaybeScanArgs(t, "mode", &mode)
		s.cutZone(name, mode)
		return ""
	case "state":
		s.state.SetDown(s.now, d.HasArg("down"))
		return ""
	case "cloud":
		s.env.CloudOff = d.HasArg("down")
		return ""
	case "machine":
		return machineCommand(t, s, d)
	case "report":
		return reportCommand(s, d)
	case "starts":
		return fmt.Sprintf("%d starts, %d machines rented so far\n", s.env.Jobs[id].Starts, s.env.Rented)
	case "estimates":
		return formatEstimates(s, nodeArg(t, s, d))
	case "outlook":
		return formatOutlook(s, nodeArg(t, s, d), id)
	case "show":
		return s.show()
	}
	t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	return ""
}

func conditionMet(t *testing.T, s *Sim, d *datadriven.TestData, id string) bool {
	t.Helper()
	if d.HasArg("heir") { // another than the one that was cut off has the claim
		return s.leader() != "none" && s.deposedLeader != nil && s.leader() != s.deposedLeader.name
	}
	if d.HasArg("leads") { // somebody does
		n := s.node(s.leader())
		return s.leader() != "none" && n.alive
	}
	count := -1
	d.MaybeScanArgs(t, "on", &count)
	state := ""
	d.MaybeScanArgs(t, "state", &state)
	if count >= 0 {
		n := 0
		for _, line := range s.env.On(id, true) {
			if strings.HasSuffix(line, state) {
				n++
			}
		}
		return n == count
	}
	want, rented := "", -1
	d.MaybeScanArgs(t, "status", &want)
	d.MaybeScanArgs(t, "machines", &rented)
	if rented >= 0 {
		return len(s.env.Machines) == rented
	}
	a := s.poll(nodeArg(t, s, d), id)
	st, ok := a.Body.(wire.JobStatus)
	return ok && st.Status == want
}

// formatUsage lists what a node's records say was used.
func formatUsage(n *node) string {
	var b strings.Builder
	n.core.UsageLedger().Each(func(k accounting.Key, u job.ResourceUsage) {
		kind := "batch"
		if k.Service {
			kind = "service"
		}
		fmt.Fprintf(&b, "%s %s %s: %.1f GPU s in %.1f task s, %.1f on spot machines, %.1f repeated\n", k.Team, k.Class, kind,
			float64(u.GPU)/1e6, float64(u.Time)/1e6, float64(u.Spot)/1e6, float64(u.Lost)/1e6)
	})
	return b.String()
}

// reportCommand holds a worker's report back, or has it arrive at last.
func reportCommand(s *Sim, d *datadriven.TestData) string {
	if d.HasArg("hold") {
		m := s.env.Machines[s.env.Names()[0]]
		s.heldHeartbeat = m.Status()
		return m.Name + "\n"
	}
	return formatResponse(s.request(s.node(s.leader()), func(req uint64) msg.Input {
		return msg.HeartbeatIn{RequestID: req, Heartbeat: s.heldHeartbeat, Forwarded: true}
	}))
}

// formatEstimates lists what a node knows of run times.
func formatEstimates(s *Sim, n *node) string {
	a := s.request(n, func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryEstimates} })
	if e, ok := a.Body.(leader.AdminError); ok {
		return fmt.Sprintln(a.Status, e.Error, e.Leader)
	}
	body, _ := a.Body.(leader.Estimates)
	var b strings.Builder
	for _, r := range body.Kinds {
		fmt.Fprintf(&b, "%s %s %s: %.0f runs, %.0f s, mostly %.0f to %.0f s, from %s\n", r.Class, r.Shape, r.Image, r.Samples, r.MedianS,
			r.Intervals[1][0], r.Intervals[1][1], r.Level)
	}
	return b.String()
}

// formatOutlook tells what a node knows of a job's deadline.
func formatOutlook(s *Sim, n *node, id string) string {
	a := s.request(n, func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryJob, JobID: id} })
	o, ok := a.Body.(leader.JobOutlook)
	if !ok {
		return fmt.Sprintln(a.Status)
	}
	return fmt.Sprintf("%s %s\n", o.Job.Status, o.Verdict)
}

func machineCommand(t *testing.T, s *Sim, d *datadriven.TestData) string {
	t.Helper()
	name, of := "", ""
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "of", &of)
	if of != "" { // the machine that a task is on
		for _, line := range s.env.On(of, true) {
			name = strings.Fields(line)[1]
			break
		}
	}
	if nth := 0; d.MaybeScanArgs(t, "nth", &nth) {
		if names := s.env.Names(); len(names) > 0 {
			name = names[nth%len(names)]
		}
	}
	m := s.env.Machines[name]
	if m == nil {
		return "no such machine\n"
	}
	switch {
	case d.HasArg("only"):
		to := ""
		d.ScanArgs(t, "only", &to)
		if s.reachableOnlyBy[name] = s.resolveNode(to); to == "any" {
			delete(s.reachableOnlyBy, name)
		}
	case d.HasArg("hang"):
		m.Hang = true
	case d.HasArg("resume"):
		m.Hang = false
		s.releaseHeld()
	case d.HasArg("deaf"):
		m.InboundLost = "drop"
		d.MaybeScanArgs(t, "mode", &m.InboundLost)
	case d.HasArg("hears"):
		m.InboundLost = ""
	case d.HasArg("mute"):
		m.OutboundLost = true
	case d.HasArg("speaks"):
		m.OutboundLost = false
	case d.HasArg("restart"):
		s.env.Restart(s.now, emulator.Second/2, m, d.HasArg("anew"))
	case d.HasArg("fail"):
		s.env.Fails[name] = s.now
	case d.HasArg("sound"):
		delete(s.env.Fails, name)
	case d.HasArg("die"):
		s.env.Release(s.now, []string{name})
	}
	return name + "\n"
}

// priorities are the usual names of priorities; scripts may use those of the wire as well.
var priorities = map[string]string{"production": wire.Production, "normal": wire.Normal, "low": wire.Low}

func jobArg(t *testing.T, d *datadriven.TestData, id string) *emulator.SubmittedJob {
	t.Helper()
	shape, team, rank := wire.Array, "red", wire.Normal
	tasks, gpus, save := 1, 1, 0
	d.MaybeScanArgs(t, "shape", &shape)
	switch shape {
	case "array":
		shape = wire.Array
	case "gang":
		shape = wire.Gang
	}
	d.MaybeScanArgs(t, "team", &team)
	if d.MaybeScanArgs(t, "rank", &rank); priorities[rank] != "" {
		rank = priorities[rank]
	}
	d.MaybeScanArgs(t, "tasks", &tasks)
	d.MaybeScanArgs(t, "gpus", &gpus)
	d.MaybeScanArgs(t, "save", &save)
	zone, needs, cpus := "", "", 1
	d.MaybeScanArgs(t, "zone", &zone)
	d.MaybeScanArgs(t, "needs", &needs)
	d.MaybeScanArgs(t, "cpus", &cpus)
	j := &emulator.SubmittedJob{Run: durationArg(t, d, "run", "3s"), Steps: durationArg(t, d, "steps", "0s"), Mistaken: d.HasArg("mistaken")}
	j.Job = wire.Job{ID: id, Class: "c", Team: team, Shape: shape, Priority: rank, Tasks: tasks, CPUs: float64(cpus), GPUs: float64(gpus),
		MemoryGB: 1, Image: "i", ImageGB: 1, Zone: zone, OneZone: d.HasArg("one_zone"), Spread: d.HasArg("spread"),
		Spot: d.HasArg("spot"), EstimateS: float64(j.Run) / 1e6, SaveS: float64(save), CheckpointS: float64(save)}
	if d.HasArg("wordy") { // the longest texts that there may be
		j.Class = strings.Repeat("c", 128)
		j.Types = []string{"t4"}
		for i := range 15 {
			j.Types = append(j.Types, fmt.Sprintf("%0128d", i))
		}
	}
	if d.HasArg("due") {
		due := float64(durationArg(t, d, "due", "1s")) / 1e6
		j.DeadlineS = &due
	}
	if needs != "" {
		j.Needs = strings.Split(needs, "+")
	}
	return j
}
