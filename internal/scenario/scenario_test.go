package scenario

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
)

// TestScenarios runs every script of testdata. "leader" stands for the node that leads, "deposed"
// for the last one that was cut off while it led, and "successor" for the leader if it is
// another one. Violated invariants are printed by whichever command comes next, so that no script can
// overlook them. The commands:
//
//	environment nodes=3             creates a simulation and runs it until there is a leader;
//	                                held=n1+n2: lower limits are announced, and these nodes are
//	                                held to the first format;
//	                                lease=10s, heartbeat=2s: of workers, else 4 s and 1 s;
//	                                cancel=40s: time of a cancellation, else 20 s;
//	                                scale=3, quota=25: multiple of the machines, and changes
//	                                per second that the state service accepts;
//	                                hang_keeps_tasks: a machine that hangs beyond its lease keeps its
//	                                tasks until it resumes;
//	                                boot=2s: of machines; listing_delay=5s: until the cloud lists
//	                                them
//	concurrent_requests cancel=0.2 at_end=0.3 seed=1
//	                                users poll at all nodes right after a job is accepted or
//	                                ended, and repeat its submission; these fractions of the jobs
//	                                are cancelled then, or as the last task ends
//	message_faults late_writes=0.2 seed=3
//	                                these fractions of messages are late or lost from now on; see
//	                                messageFaults
//	until ...                       time passes until a job or the simulation is in a state, for
//	                                two minutes at most
//	await successor                 the same for 8 s at most; successor: until another node than the
//	                                deposed leader leads
//	cancel_with_retries id=j-1      a user cancels, with retries until it is confirmed
//	start_all                       all nodes that are down start
//	duplicate_heartbeats node=n1 count=5
//	                                copies of heartbeats arrive again, at one node
//	announce_limits                 nodes that start from now on know of coming limits
//	limits next                     the state service enforces the coming limits
//	keys under=ch/part/             prints how many keys there are
//	submit id=j-1 shape=array ...   a user submits; prints the answer; count=3
//	                                adds j-11 and j-12
//	poll id=j-1 node=n2             a user polls
//	cancel id=j-1                   a user cancels, once
//	run for=5s                      time passes
//	node node=n1 kill|start|upgrade a node crashes or starts, held to no format any more;
//	                                kill on=ch/x after: the node whose next transaction
//	                                writes a key there crashes with it, before it takes effect
//	                                or after
//	slo                             prints SLO attainment by class and team, from the leader
//	wait_reason id=j-1 node=leader  prints why a job waits, from the leader
//	usage node=n1                   prints the usage of teams that a node has recorded
//	block node=n1 for=3s            the node's loop is blocked
//	cut node=n1 link=state mode=hold
//	                                cuts a link: state, watch, answer (to one transaction),
//	                                workers, peers or cloud;
//	                                mode=stall of state: like hold, and the node waits for an answer
//	heal node=n1                    heals the node's links and delivers what was held back; with
//	                                keep it stays held back until the next heal
//	zone name=a cut mode=hold       its nodes and machines reach only each other, until a heal of all
//	state down|up, cloud down|up    outages
//	machine name=m-000000 hang|resume|fail|repair|die
//	machine nth=3 ...               the machine of that number, modulo the number of machines
//	machine name=m-000000 inbound_lost|inbound_restored
//	                                its heartbeats arrive, nothing reaches it
//	machine name=m-000000 only=deposed
//	                                only that node and the machine reach each other, until only=any
//	machine name=m-000000 outbound_lost|outbound_restored
//	                                its heartbeats reach no node, commands reach it
//	machine name=m-000000 restart   it restarts within half a second with the next incarnation;
//	                                lose_state: its worker has lost its state
//	heartbeat hold|late             a heartbeat of a worker is held back, arrives
//	starts id=j-1                   prints how often tasks were started
//	estimates node=n1               prints the estimates of run times
//	deadline id=j-1 node=n1         prints a job's status and whether it will meet its deadline
//	show                            prints the leader, the machines and the tasks on them
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		var s *Sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			if d.Cmd == "environment" {
				s = newScriptSim(t, d)
				return "leader " + s.leader() + "\n"
			}
			out := executeCommand(t, s, d)
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

// newScriptSim returns the simulation that a world command describes, after it has run until
// there is a leader.
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
	s.env.Unlisted = durationArg(t, d, "listing_delay", "0s")
	s.env.HangKeeps = d.HasArg("hang_keeps_tasks")
	s.heartbeatCopies = &heartbeatCopies{maxAge: 3 * s.env.Lease}
	s.env.ReportEvery = durationArg(t, d, "heartbeat", "1s")
	if d.HasArg("lease") || d.HasArg("cancel") || d.HasArg("heartbeat") || d.HasArg("unshared") {
		for _, n := range s.nodes {
			n.noPlacementPages = d.HasArg("unshared")
			s.start(n) // with the changed settings
		}
	}
	s.run(3 * emulator.Second)
	return s
}
