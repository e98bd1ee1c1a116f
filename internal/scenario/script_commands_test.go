package scenario

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
	"coralhub/internal/core/slo"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// scriptCommands are the commands of scripts except environment; TestScenarios describes them. A
// command is called with its id argument, or j-1 if there is none, and returns what it prints.
var scriptCommands = map[string]func(t *testing.T, s *Sim, d *datadriven.TestData, id string) string{
	"slo":                  sloCommand,
	"wait_reason":          waitReasonCommand,
	"usage":                usageCommand,
	"estimates":            estimatesCommand,
	"deadline":             deadlineCommand,
	"submit":               submitCommand,
	"poll":                 pollCommand,
	"cancel":               cancelCommand,
	"cancel_with_retries":  cancelWithRetriesCommand,
	"announce_limits":      announceLimitsCommand,
	"limits":               limitsCommand,
	"keys":                 keysCommand,
	"message_faults":       messageFaultsCommand,
	"concurrent_requests":  concurrentRequestsCommand,
	"run":                  runCommand,
	"await":                awaitCommand,
	"until":                untilCommand,
	"block":                blockCommand,
	"node":                 nodeCommand,
	"start_all":            startAllCommand,
	"duplicate_heartbeats": duplicateHeartbeatsCommand,
	"repeat_calls":         repeatCallsCommand,
	"repeat_writes":        repeatWritesCommand,
	"cut":                  cutCommand,
	"heal":                 healCommand,
	"zone":                 zoneCommand,
	"machine":              machineCommand,
	"heartbeat":            heartbeatCommand,
	"state":                stateCommand,
	"cloud":                cloudCommand,
	"starts":               startsCommand,
	"show":                 showCommand,
}

// executeCommand runs a command of a script and returns what it prints.
func executeCommand(t *testing.T, s *Sim, d *datadriven.TestData) string {
	t.Helper()
	id := "j-1"
	d.MaybeScanArgs(t, "id", &id)
	run := scriptCommands[d.Cmd]
	if run == nil {
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return run(t, s, d, id)
}

func usageCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	return formatUsage(nodeArg(t, s, d))
}

func estimatesCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	return formatEstimates(s, nodeArg(t, s, d))
}

func deadlineCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	return formatOutlook(s, nodeArg(t, s, d), id)
}

func cancelCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	return formatResponse(s.cancel(nodeArg(t, s, d), id))
}

func cancelWithRetriesCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, id string) string {
	s.cancelUntilFinal(id)
	return ""
}

func announceLimitsCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, _ string) string {
	s.limitsAnnounced = true
	return ""
}

func limitsCommand(_ *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	s.setStateLimits(d.HasArg("next"))
	return ""
}

func runCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	s.run(durationArg(t, d, "for", "1s"))
	return ""
}

func blockCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	n := nodeArg(t, s, d)
	n.busyUntil = s.now + durationArg(t, d, "for", "3s")
	return ""
}

func stateCommand(_ *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	s.state.SetDown(s.now, d.HasArg("down"))
	return ""
}

func cloudCommand(_ *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	s.env.CloudDown = d.HasArg("down")
	return ""
}

func startsCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, id string) string {
	return fmt.Sprintf("%d starts, %d machines rented so far\n", s.env.Jobs[id].Starts, s.env.Rented)
}

func showCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, _ string) string {
	return s.show()
}

func sloCommand(_ *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	a := s.request(s.node(s.leader()), func(req uint64) msg.Input {
		return msg.AdminIn{RequestID: req, Query: msg.QueryGauges}
	})
	gauges, ok := a.Body.(query.Gauges)
	if !ok {
		return formatResponse(a)
	}
	attainment := gauges.CompletedInTime
	if d.HasArg("begun") {
		attainment = gauges.StartedInTime
	}
	out := ""
	for _, ratios := range []map[string]slo.Ratio{attainment.Class, attainment.Team, attainment.Largest} {
		for _, name := range slices.Sorted(maps.Keys(ratios)) {
			out += fmt.Sprintf("%s %d of %d\n", name, ratios[name].Met, ratios[name].Jobs)
		}
	}
	return out
}

func waitReasonCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	a := s.request(nodeArg(t, s, d), func(req uint64) msg.Input {
		return msg.AdminIn{RequestID: req, Query: msg.QueryWaitReason, JobID: id}
	})
	w, ok := a.Body.(query.WaitReason)
	if !ok {
		return formatResponse(a)
	}
	return fmt.Sprintf("%s; rank %d of %d, before it %v, kept %v, yield %v\n", w.Reason, w.Rank, w.QueueLength, w.Ahead,
		w.ReservedMachines, w.PreemptedJobs)
}

func submitCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	out := formatResponse(s.submit(nodeArg(t, s, d), jobArg(t, d, id)))
	for n := 1; n < count; n++ {
		s.submit(nodeArg(t, s, d), jobArg(t, d, fmt.Sprintf("%s%d", id, n)))
	}
	return out
}

func pollCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	start := s.now
	a := s.poll(nodeArg(t, s, d), id)
	if s.now-start >= pollTimeout {
		return "too late: " + formatResponse(a)
	}
	return formatResponse(a)
}

func keysCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	prefix := ""
	d.MaybeScanArgs(t, "under", &prefix)
	return fmt.Sprintf("%d keys, %d refused for their size\n", len(s.state.List(prefix)), s.state.Refused)
}

func messageFaultsCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	s.messageFaults = messageFaultsArg(t, d)
	return ""
}

func concurrentRequestsCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	seed := uint64(1)
	d.MaybeScanArgs(t, "seed", &seed)
	s.concurrentRequests = newConcurrentRequests(seed, fractionArg(t, d, "cancel"), fractionArg(t, d, "at_end"))
	return ""
}

// The commands await and until wait for at most this number of ticks.
const (
	awaitTicks = 80
	untilTicks = 1200
)

func awaitCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	runUntil(t, s, d, id, awaitTicks)
	return ""
}

func untilCommand(t *testing.T, s *Sim, d *datadriven.TestData, id string) string {
	t.Helper()
	if !runUntil(t, s, d, id, untilTicks) {
		return "never\n"
	}
	return ""
}

// runUntil runs the simulation until the command's condition is met, for at most the given number
// of ticks. It reports whether the condition was met.
func runUntil(t *testing.T, s *Sim, d *datadriven.TestData, id string, ticks int) bool {
	t.Helper()
	for range ticks {
		if conditionMet(t, s, d, id) {
			return true
		}
		s.run(tick)
	}
	return false
}

// conditionMet reports whether the condition in a command's arguments is met.
func conditionMet(t *testing.T, s *Sim, d *datadriven.TestData, id string) bool {
	t.Helper()
	if d.HasArg("successor") { // another node leads than the last one that was cut off while it led
		return s.leader() != "none" && s.deposedLeader != nil && s.leader() != s.deposedLeader.name
	}
	if d.HasArg("leads") { // the node that leads is alive
		n := s.node(s.leader())
		return s.leader() != "none" && n.alive
	}
	count := -1
	d.MaybeScanArgs(t, "on", &count)
	state := ""
	d.MaybeScanArgs(t, "state", &state)
	if count >= 0 {
		n := 0
		for _, line := range s.env.TasksOf(id, true) {
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

func nodeCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	n := nodeArg(t, s, d)
	switch {
	case d.HasArg("kill") && d.HasArg("on"): // a transaction that writes a key with this prefix
		d.ScanArgs(t, "on", &s.crash.keyPrefix)
		s.crash.afterCommit = d.HasArg("after")
	case d.HasArg("kill"):
		n.alive = false
	case d.HasArg("unshared"), d.HasArg("shared"): // restart with changed settings
		n.noPlacementPages = d.HasArg("unshared")
		s.start(n)
	case d.HasArg("upgrade"):
		n.formatHeld = false
		s.start(n)
	default:
		s.start(n)
	}
	return n.name + "\n"
}

func startAllCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, _ string) string {
	for _, n := range s.nodes {
		if !n.alive {
			s.start(n)
		}
	}
	return ""
}

func duplicateHeartbeatsCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	rnd := rand.New(rand.NewPCG(uint64(s.now), 1))
	if nodeNamed(t, d, "all") {
		s.deliverCopiesToAll(rnd, count)
	} else {
		s.deliverCopies(nodeArg(t, s, d), rnd, count)
	}
	return ""
}

func repeatCallsCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, _ string) string {
	s.repeatCalls()
	return ""
}

func repeatWritesCommand(_ *testing.T, s *Sim, _ *datadriven.TestData, _ string) string {
	s.repeatWrites()
	return ""
}

func cutCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	n, link, mode := nodeArg(t, s, d), "state", "drop"
	d.MaybeScanArgs(t, "link", &link)
	d.MaybeScanArgs(t, "mode", &mode)
	if nodeNamed(t, d, "others") { // all except the leader and the deposed one
		for _, other := range s.nodes {
			if other != s.resolveNode("leader") && other != s.deposedLeader {
				other.cutLinks[link] = mode
			}
		}
		return ""
	}
	if nodeNamed(t, d, "leader") {
		s.deposedLeader = n
	}
	n.cutLinks[link] = mode
	return n.name + "\n"
}

func healCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	all := nodeNamed(t, d, "all")
	if all {
		s.healLinks()
	} else {
		nodeArg(t, s, d).cutLinks = map[string]string{}
	}
	if all || !d.HasArg("keep") {
		s.releaseHeld()
	}
	return ""
}

func zoneCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	name, mode := "", "drop"
	d.ScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "mode", &mode)
	s.cutZone(name, mode)
	return ""
}

func machineCommand(t *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	t.Helper()
	name, of := "", ""
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "of", &of)
	if of != "" { // the machine of a task of the job
		for _, line := range s.env.TasksOf(of, true) {
			name = strings.Fields(line)[1]
			break
		}
	}
	if nth := 0; d.MaybeScanArgs(t, "nth", &nth) {
		if names := s.env.MachineNames(); len(names) > 0 {
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
		m.Hanging = true
	case d.HasArg("resume"):
		m.Hanging = false
		s.releaseHeld()
	case d.HasArg("inbound_lost"):
		m.InboundLost = "drop"
		d.MaybeScanArgs(t, "mode", &m.InboundLost)
	case d.HasArg("inbound_restored"):
		m.InboundLost = ""
	case d.HasArg("outbound_lost"):
		m.OutboundLost = true
	case d.HasArg("outbound_restored"):
		m.OutboundLost = false
	case d.HasArg("restart"):
		s.env.Restart(s.now, emulator.Second/2, m, d.HasArg("lose_state"))
	case d.HasArg("fail"):
		s.env.FailingSince[name] = s.now
	case d.HasArg("repair"):
		delete(s.env.FailingSince, name)
	case d.HasArg("die"):
		s.env.Release(s.now, []string{name})
	}
	return name + "\n"
}

// heartbeatCommand holds back a heartbeat of the first worker, or delivers it to the leader.
func heartbeatCommand(_ *testing.T, s *Sim, d *datadriven.TestData, _ string) string {
	if d.HasArg("hold") {
		m := s.env.Machines[s.env.MachineNames()[0]]
		s.heldHeartbeat = m.NextHeartbeat()
		return m.Name + "\n"
	}
	return formatResponse(s.request(s.node(s.leader()), func(req uint64) msg.Input {
		return msg.HeartbeatIn{RequestID: req, Heartbeat: s.heldHeartbeat, Forwarded: true}
	}))
}

// formatResponse formats the HTTP status of a response, the job status in it and the time to retry after.
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

// formatUsage formats the usage that a node has recorded, by team, class and kind of job.
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

// formatEstimates formats a node's estimates of run times.
func formatEstimates(s *Sim, n *node) string {
	a := s.request(n, func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryEstimates} })
	if e, ok := a.Body.(query.Error); ok {
		return fmt.Sprintln(a.Status, e.Error, e.Leader)
	}
	body, _ := a.Body.(query.Estimates)
	var b strings.Builder
	for _, r := range body.Kinds {
		fmt.Fprintf(&b, "%s %s %s: %.0f runs, %.0f s, mostly %.0f to %.0f s, from %s\n", r.Class, r.Shape, r.Image,
			r.Samples, r.MedianS, r.Intervals[1][0], r.Intervals[1][1], r.Level)
	}
	return b.String()
}

// formatOutlook formats a job's status and the outlook for its deadline, as a node reports them.
func formatOutlook(s *Sim, n *node, id string) string {
	a := s.request(n, func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryJob, JobID: id} })
	o, ok := a.Body.(query.JobOutlook)
	if !ok {
		return fmt.Sprintln(a.Status)
	}
	return fmt.Sprintf("%s %s\n", o.Job.Status, o.Verdict)
}
