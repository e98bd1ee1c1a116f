package scenario

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// TestChaos injects random faults, several at a time, with fixed seeds. No invariant may be
// violated, and every accepted job must end once the faults have ended.
func TestChaos(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, newSim(3), rand.New(rand.NewPCG(seed, 99)), 0, 120, 4)
		})
	}
}

// TestChaosAtScale does the same with some two hundred machines, jobs of up to seventy tasks,
// thirty jobs before the first fault, and a state service that accepts 25 changes per second in
// total.
func TestChaosAtScale(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, newSimOfScale(3, 24, 25), rand.New(rand.NewPCG(seed, 77)), 30, 50, 70)
		})
	}
}

// TestChaosOfLinks adds machines whose heartbeats arrive though nothing reaches them, copies
// of heartbeats that arrive up to three leases late, nodes and machines that restart at once, and
// nodes that reach only their workers.
func TestChaosOfLinks(t *testing.T) {
	for seed := range uint64(*linkFaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSimOfScale(3+2*int(seed%2), 1+int(seed%3), []float64{0, 25}[seed%2])
			s.heartbeatCopies = &heartbeatCopies{maxAge: 3 * s.env.Lease}
			runRandomFaults(t, s, rand.New(rand.NewPCG(seed, 11)), 5, 120, 8)
		})
	}
}

// linkFaultSeeds is the number of seeds of TestChaosOfLinks. The default takes a few seconds.
var linkFaultSeeds = flag.Int("links", 40, "number of seeds of TestChaosOfLinks")

// TestChaosInUpgrade starts with every node held to the first format. The nodes are upgraded one by
// one during the faults, and jobs with dependencies are submitted throughout. Some time after the
// last upgrade the limits of the state service are lowered.
func TestChaosInUpgrade(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			quota := []float64{0, 25}[seed%2]
			runRandomFaults(t, newSimWithUpgrade(3, 2, quota, []string{"n1", "n2", "n3"}), rand.New(rand.NewPCG(seed, 55)), 5,
				120, 70)
		})
	}
}

// TestSameInputsSameEffects runs each seed twice: the effects of a node may depend on nothing but its
// inputs, and not on the iteration order of a map, for example. The digests also show whether a code
// change has altered the effects of nodes (go test -run SameInputs -v).
func TestSameInputsSameEffects(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var sums [2]uint64
			for i := range sums {
				s := newSimWithUpgrade(3, 4, 25, []string{"n1", "n2", "n3"})
				s.effects = fnv.New64a()
				runRandomFaults(t, s, rand.New(rand.NewPCG(seed, 33)), 10, 60, 70)
				sums[i] = s.effects.Sum64()
			}
			if sums[0] != sums[1] {
				t.Errorf("digests of the effects of two runs differ: %x and %x", sums[0], sums[1])
			}
			t.Logf("digest of the effects: %x", sums[0])
		})
	}
}

// chaosRun is the state of a run of random faults.
type chaosRun struct {
	*Sim
	rnd                  *rand.Rand
	maxTasks             int
	possibleDependencies []string        // accepted jobs that others may depend on, so no services
	submitted            map[string]bool // by job: true if known to be accepted; if false it may be accepted too
	services             map[string]bool
}

// runRandomFaults submits the initial jobs without faults, runs random events, ends all faults and
// checks that every accepted job ends.
func runRandomFaults(t *testing.T, s *Sim, rnd *rand.Rand, initialJobs, events, maxTasks int) {
	t.Helper()
	s.run(2 * emulator.Second)
	c := &chaosRun{Sim: s, rnd: rnd, maxTasks: maxTasks, submitted: map[string]bool{}, services: map[string]bool{}}
	for i := range initialJobs + events {
		n := s.nodes[rnd.IntN(3)]
		kinds := 14
		if s.heartbeatCopies != nil {
			kinds = 20
		}
		kind := rnd.IntN(kinds)
		if s.limitsAnnounced && i >= initialJobs {
			s.advanceUpgrade(n, i-initialJobs, events)
		}
		if i < initialJobs { // only submissions, with no time between them
			kind = 0
		}
		c.event(kind, i, n)
		if i >= initialJobs {
			s.run(emulator.Micros(rnd.IntN(30)) * tick)
		}
	}
	c.healAll()
	s.requireResponses(t, c.submitted)
	c.cancelServices()
	c.checkEnded(t)
}

// event runs random event number i, of the given kind and at the given node.
func (c *chaosRun) event(kind, i int, n *node) {
	rnd := c.rnd
	switch kind {
	case 0, 1, 2, 3:
		c.submitRandomJob(fmt.Sprintf("j-%d", i), n)
	case 4:
		id := fmt.Sprintf("j-%d", rnd.IntN(i+1))
		if c.env.Jobs[id] != nil {
			c.cancel(n, id)
		}
	case 5, 6:
		id := fmt.Sprintf("j-%d", rnd.IntN(i+1))
		c.poll(n, id)
	case 7:
		n.alive = false
	case 8:
		if !n.alive {
			c.start(n)
		}
	case 9:
		links := []string{"state", "workers", "peers", "cloud"}
		n.cutLinks[links[rnd.IntN(4)]] = []string{"drop", "hold"}[rnd.IntN(2)]
	case 10:
		n.cutLinks = map[string]string{}
		if rnd.IntN(3) == 0 {
			c.releaseHeld()
		}
	case 11:
		c.state.SetDown(c.now, rnd.IntN(2) == 0)
	case 12:
		c.env.CloudDown = rnd.IntN(3) == 0
	case 13:
		if names := c.env.MachineNames(); len(names) > 0 {
			m := c.env.Machines[names[rnd.IntN(len(names))]]
			m.Hanging = !m.Hanging
		}
	default:
		c.injectLinkFault(n, rnd)
	}
}

func (c *chaosRun) submitRandomJob(id string, n *node) {
	j := randomJob(c.rnd, id, c.maxTasks)
	for c.limitsAnnounced && len(c.possibleDependencies) > 0 && len(j.Dependencies) < 4 && c.rnd.IntN(2) == 0 {
		j.Dependencies = append(j.Dependencies, c.possibleDependencies[c.rnd.IntN(len(c.possibleDependencies))])
	}
	c.services[j.ID] = j.Shape == wire.Service
	if a := c.submit(n, j); a.Status == 201 || a.Status == 200 {
		c.submitted[j.ID] = true
		if j.Shape != wire.Service {
			c.possibleDependencies = append(c.possibleDependencies, j.ID)
		}
	} else if j.CancelledAt == 0 {
		c.submitted[j.ID] = false
	}
}

// healAll ends all faults except hanging machines, and upgrades the remaining nodes.
func (c *chaosRun) healAll() {
	c.state.SetDown(c.now, false)
	c.env.CloudDown = false
	for _, n := range c.nodes {
		n.cutLinks = map[string]string{}
		if n.formatHeld {
			n.alive = false
			n.formatHeld = false
		}
		if !n.alive {
			c.start(n)
		}
	}
	for _, name := range c.env.MachineNames() {
		c.env.Machines[name].InboundLost = ""
	}
	c.releaseHeld()
	if c.heartbeatCopies != nil {
		c.deliverCopies(c.node(c.leader()), c.rnd, 30)
	}
}

// cancelServices runs the simulation for a minute and cancels the services, which never complete.
func (c *chaosRun) cancelServices() {
	c.run(60 * emulator.Second)
	for _, id := range slices.Sorted(maps.Keys(c.submitted)) {
		for try := 0; c.services[id] && c.lastStatus[id] != wire.Cancelled && try < 20; try++ {
			c.cancel(c.nodes[0], id)
		}
	}
}

// checkEnded runs the simulation for two minutes and checks that all accepted jobs have ended, that
// the usage records of the nodes agree and that no invariant was violated.
func (c *chaosRun) checkEnded(t *testing.T) {
	t.Helper()
	c.run(120 * emulator.Second)
	for _, id := range slices.Sorted(maps.Keys(c.submitted)) {
		accepted := c.submitted[id]
		a := c.poll(c.nodes[1], id)
		st, _ := a.Body.(wire.JobStatus)
		if accepted && st.Status != wire.Done && st.Status != wire.Cancelled {
			t.Errorf("%s (%s, %d tasks) has not ended: %s", id, c.env.Jobs[id].Shape, c.env.Jobs[id].Tasks, formatResponse(a))
		}
	}
	for _, problem := range append(c.compareUsage(), c.env.Violations...) {
		t.Error(problem)
	}
	if c.state.Refused > 0 {
		t.Errorf("%d transactions were refused for their size, want none", c.state.Refused)
	}
	t.Logf("%d machines rented, %d changes", c.env.Rented, c.state.Revision())
	if t.Failed() {
		t.Log(c.show())
	}
}

// compareUsage restarts the first node, so that it reads its usage records from the state service, and
// compares them with those of all other nodes. It returns the differences.
func (s *Sim) compareUsage() (problems []string) {
	s.start(s.nodes[0])
	s.run(5 * emulator.Second)
	for _, n := range s.nodes[1:] {
		if !n.core.UsageLedger().Equal(s.nodes[0].core.UsageLedger()) {
			problems = append(problems, fmt.Sprintf("usage records of %s and of a restarted node differ: %s and %s", n.name,
				formatUsage(n), formatUsage(s.nodes[0])))
		}
	}
	return problems
}

// maxUnanswered is how long users may get no response about a job once all faults have ended.
const maxUnanswered = 75 * emulator.Second

// requireResponses polls every accepted job, each time at the next node, until there is a response
// with status 200.
func (s *Sim) requireResponses(t *testing.T, accepted map[string]bool) {
	t.Helper()
	faultsEnded := s.now
	var unanswered []string
	for id, known := range accepted {
		if known {
			unanswered = append(unanswered, id)
		}
	}
	slices.Sort(unanswered)
	for round := 0; len(unanswered) > 0; round++ {
		unanswered = slices.DeleteFunc(unanswered, func(id string) bool {
			a := s.poll(s.nodes[round%len(s.nodes)], id)
			return a.Status == 200
		})
		if s.now-faultsEnded > maxUnanswered {
			t.Errorf("no response about %v within %d s after the faults ended", unanswered, maxUnanswered/emulator.Second)
			return
		}
		s.run(emulator.Second)
	}
	t.Logf("every poll was answered %d ms after the faults ended", (s.now-faultsEnded)/1000)
}

// advanceUpgrade upgrades a node if the next upgrade is due, which happens once in each seventh of
// the events, and lowers the limits of the state service after the last upgrade.
func (s *Sim) advanceUpgrade(n *node, at, events int) {
	upgraded := 0
	for _, x := range s.nodes {
		if !x.formatHeld {
			upgraded++
		}
	}
	switch {
	case n.formatHeld && at > events/7*(upgraded+1):
		n.formatHeld = false
		s.start(n)
	case upgraded == len(s.nodes) && at > events*5/7:
		s.setStateLimits(true)
	}
}

// randomJob draws a job of at most the given number of tasks.
func randomJob(rnd *rand.Rand, id string, tasks int) *emulator.SubmittedJob {
	j := &emulator.SubmittedJob{RunTime: emulator.Micros(1+rnd.IntN(8)) * emulator.Second}
	j.Job = wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[rnd.IntN(2)],
		Shape:    []string{wire.Array, wire.Array, wire.Gang, wire.Service}[rnd.IntN(4)],
		Priority: []string{wire.Production, wire.High, wire.Normal, wire.Low}[rnd.IntN(4)],
		Tasks:    1 + rnd.IntN(tasks), CPUs: 1, GPUs: float64(1 + rnd.IntN(2)), MemoryGB: 1, Image: "i", ImageGB: 1,
		OneZone: rnd.IntN(3) == 0, Spread: rnd.IntN(4) == 0, Spot: rnd.IntN(2) == 0, EstimateS: 3}
	if j.OneZone {
		j.Spread = false
	}
	if rnd.IntN(2) == 0 {
		j.CheckpointS, j.SaveS = 2, 1
	}
	if rnd.IntN(6) == 0 {
		j.Zone = "a"
		j.Spread = false
	}
	return j
}
