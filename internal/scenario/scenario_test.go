package scenario

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
)

// TestScenarios runs every script in testdata. In place of a node's name, "leader" is the node that
// leads, "deposed" the last node that was cut off while it led, "successor" the leader if it is not
// that node, and "other" a live node that doesn't lead. Every command prints the violations of
// invariants that were found so far, so that no script can overlook them. The commands:
//
//	environment nodes=3             creates a simulation and runs it until there is a leader;
//	                                held=n1+n2: lower limits are announced, and these nodes are
//	                                held to the first format;
//	                                lease=10s, heartbeat=2s: lease and heartbeat interval of
//	                                workers, by default 4 s and 1 s;
//	                                cancel=40s: time limit of a cancellation, by default 20 s;
//	                                scale=3: multiple of the usual machines and team limits;
//	                                quota=25: changes per second that the state service accepts;
//	                                unshared: placement pages are disabled on all nodes;
//	                                hang_keeps_tasks: a machine that hangs beyond its lease keeps
//	                                its tasks until it resumes;
//	                                boot=2s: how long machines boot;
//	                                listing_delay=5s: how long the cloud doesn't list new machines
//	concurrent_requests cancel=0.2 at_end=0.3 seed=1
//	                                users poll at all nodes right after a job is accepted or has
//	                                ended, and repeat its submission; these fractions of the jobs
//	                                are cancelled at that time, or when the last task ends
//	message_faults late_writes=0.2 seed=3
//	                                these fractions of messages are late or lost from now on; see
//	                                messageFaults
//	until ...                       runs the simulation until a condition is met, for two minutes
//	                                at most; see conditionMet
//	await successor                 the same for 8 s at most; successor: until another node than
//	                                the deposed leader leads
//	cancel_with_retries id=j-1      a user cancels a job, with retries until that is confirmed
//	start_all                       starts all nodes that are down
//	duplicate_heartbeats node=n1 count=5
//	                                copies of heartbeats arrive again at a node, or at all
//	repeat_calls                    copies of all direct calls that were executed so far arrive again
//	repeat_writes                   the same for transactions of the state service
//	announce_limits                 the coming limits are announced to nodes that start from now on
//	limits next                     the state service enforces the coming limits
//	keys under=ch/part/             prints the number of keys with a prefix
//	submit id=j-1 shape=array ...   a user submits a job; prints the response; count=3 also
//	                                submits j-11 and j-12
//	poll id=j-1 node=n2             a user polls a job; prints the response
//	cancel id=j-1                   a user cancels a job, once; prints the response
//	run for=5s                      runs the simulation for a duration
//	node node=n1 kill|start|upgrade crashes or starts a node; upgrade restarts it, no longer held
//	                                to the first format;
//	                                kill on=ch/x after: crashes the node whose next transaction
//	                                writes a key with that prefix, before the transaction takes
//	                                effect or, with after, once it has taken effect
//	node node=n1 shared|unshared    restarts a node with placement pages enabled or disabled
//	slo                             prints from the leader how many jobs were completed in time, by class,
//	                                by team and among the largest; begun: how many were started in time
//	wait_reason id=j-1 node=leader  prints why a job waits, from the leader
//	usage node=n1                   prints the usage of teams that a node has recorded
//	block node=n1 for=3s            blocks the loop of a node
//	cut node=n1 link=state mode=hold
//	                                cuts a link: state, watch, answer (the response to one
//	                                transaction), workers, peers or cloud;
//	                                node=others: of all nodes but the leader and the deposed one;
//	                                mode=stall of state: like hold, and the node waits for a
//	                                response until its timeout
//	heal node=n1                    heals a node's links and delivers all messages that were held
//	                                back; with keep they stay held back until the next heal
//	zone name=a cut mode=hold       the zone's nodes and machines reach only each other, until
//	                                heal node=all
//	state down|up, cloud down|up    starts and ends an outage
//	machine name=m-000000 hang|resume|fail|repair|die
//	                                fail: every task that starts there fails, until repair
//	machine nth=3 ...               selects the machine by number, modulo the number of machines
//	machine of=j-1 ...              selects the machine of a task of a job
//	machine name=m-000000 inbound_lost|inbound_restored
//	                                its heartbeats arrive, nothing reaches it
//	machine name=m-000000 only=deposed
//	                                the machine and that node alone reach each other, until only=any
//	machine name=m-000000 outbound_lost|outbound_restored
//	                                its heartbeats reach no node, commands reach it
//	machine name=m-000000 restart   it restarts within half a second with the next incarnation;
//	                                lose_state: its worker has lost its state
//	heartbeat hold|late             holds back a heartbeat of a worker; delivers it to the leader
//	starts id=j-1                   prints how often tasks of a job were started
//	estimates node=n1               prints the estimates of run times
//	deadline id=j-1 node=n1         prints a job's status and the outlook for its deadline
//	show                            prints the leader, the number of machines and the tasks on them
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
			for _, b := range s.env.Violations {
				out += "BROKEN " + b + "\n"
			}
			if out == "" {
				out = "ok\n"
			}
			return out
		})
	})
}

// newScriptSim returns the simulation that an environment command describes, after it has run
// until there is a leader.
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
	s.env.CancelTimeout = durationArg(t, d, "cancel", "20s")
	s.env.BootTime = durationArg(t, d, "boot", "2s")
	s.env.Types[0].BootS = float64(s.env.BootTime) / 1e6
	s.env.ListingDelay = durationArg(t, d, "listing_delay", "0s")
	s.env.KeepTasksOnHang = d.HasArg("hang_keeps_tasks")
	s.heartbeatCopies = &heartbeatCopies{maxAge: 3 * s.env.Lease}
	s.env.HeartbeatInterval = durationArg(t, d, "heartbeat", "1s")
	if d.HasArg("lease") || d.HasArg("cancel") || d.HasArg("heartbeat") || d.HasArg("unshared") {
		for _, n := range s.nodes {
			n.noPlacementPages = d.HasArg("unshared")
			s.start(n) // with the changed settings
		}
	}
	s.run(3 * emulator.Second)
	return s
}
