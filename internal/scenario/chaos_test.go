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

// TestChaos plays days of random troubles, several at once, by fixed seeds: no
// rule may be broken while they last, and once they are over every accepted job
// must end.
func TestChaos(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, newSim(3), rand.New(rand.NewPCG(seed, 99)), 0, 120, 4)
		})
	}
}

// TestChaosAtScale does the same with some two hundred machines, jobs of up to
// seventy tasks, thirty of them before the first trouble, and a state service that takes 25 changes a second from all.
func TestChaosAtScale(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, newSimOfScale(3, 24, 25), rand.New(rand.NewPCG(seed, 77)), 30, 50, 70)
		})
	}
}

// TestChaosOfLinks adds machines that nothing reaches though they are heard, copies of reports
// up to three leases late, nodes and machines that are back in a moment, and nodes that have
// nothing but their workers.
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

// linkFaultSeeds is how many days TestChaosOfLinks plays; the usual ones take a few seconds.
var linkFaultSeeds = flag.Int("links", 40, "days of TestChaosOfLinks")

// TestChaosInUpgrade begins with every node held to the older format. They are
// upgraded one by one while all else goes on, jobs that need others are submitted
// throughout, and the state service's limits fall at some moment after that.
func TestChaosInUpgrade(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			quota := []float64{0, 25}[seed%2]
			runRandomFaults(t, newSimWithUpgrade(3, 2, quota, []string{"n1", "n2", "n3"}), rand.New(rand.NewPCG(seed, 55)), 5, 120, 70)
		})
	}
}

// TestSameInputsSameEffects plays days twice: nothing that a node does may depend on the
// order of a map or on anything else but its inputs. The digests also tell whether a change
// of the code has changed what nodes do (go test -run SameInputs -v).
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
				t.Errorf("%x and %x", sums[0], sums[1])
			}
			t.Logf("effects %x", sums[0])
		})
	}
}

func runRandomFaults(t *testing.T, s *Sim, rnd *rand.Rand, early, events, tasks int) {
	t.Helper()
	s.run(2 * emulator.Second)
	var needable []string // accepted, and no service
	accepted := map[string]bool{}
	services := map[string]bool{}
	for i := range early + events {
		n := s.nodes[rnd.IntN(3)]
		kinds := 14
		if s.heartbeatCopies != nil {
			kinds = 20
		}
		kind := rnd.IntN(kinds)
		if s.limitsAnnounced && i >= early {
			s.advanceUpgrade(n, i-early, events)
		}
		if i < early { // jobs alone, one after the other
			kind = 0
		}
		switch kind {
		case 0, 1, 2, 3:
			j := randomJob(rnd, fmt.Sprintf("j-%d", i), tasks)
			for s.limitsAnnounced && len(needable) > 0 && len(j.Needs) < 4 && rnd.IntN(2) == 0 {
				j.Needs = append(j.Needs, needable[rnd.IntN(len(needable))])
			}
			services[j.ID] = j.Shape == wire.Service
			if a := s.submit(n, j); a.Status == 201 || a.Status == 200 {
				accepted[j.ID] = true
				if j.Shape != wire.Service {
					needable = append(needable, j.ID)
				}
			} else if j.Cancelled == 0 {
				accepted[j.ID] = false // it may be known all the same
			}
		case 4:
			id := fmt.Sprintf("j-%d", rnd.IntN(i+1))
			if s.env.Jobs[id] != nil {
				s.cancel(n, id)
			}
		case 5, 6:
			id := fmt.Sprintf("j-%d", rnd.IntN(i+1))
			s.poll(n, id)
		case 7:
			n.alive = false
		case 8:
			if !n.alive {
				s.start(n)
			}
		case 9:
			links := []string{"state", "workers", "peers", "cloud"}
			n.cutLinks[links[rnd.IntN(4)]] = []string{"drop", "hold"}[rnd.IntN(2)]
		case 10:
			n.cutLinks = map[string]string{}
			if rnd.IntN(3) == 0 {
				s.releaseHeld()
			}
		case 11:
			s.state.SetDown(s.now, rnd.IntN(2) == 0)
		case 12:
			s.env.CloudOff = rnd.IntN(3) == 0
		case 13:
			if names := s.env.Names(); len(names) > 0 {
				m := s.env.Machines[names[rnd.IntN(len(names))]]
				m.Hang = !m.Hang
			}
		default:
			s.injectLinkFault(n, rnd)
		}
		if i >= early {
			s.run(emulator.Micros(rnd.IntN(30)) * tick)
		}
	}
	s.state.SetDown(s.now, false)
	s.env.CloudOff = false
	for _, n := range s.nodes {
		n.cutLinks = map[string]string{}
		if n.formatHeld {
			n.alive, n.formatHeld = false, false
		}
		if !n.alive {
			s.start(n)
		}
	}
	for _, name := range s.env.Names() {
		s.env.Machines[name].InboundLost = ""
	}
	s.releaseHeld()
	if s.heartbeatCopies != nil {
		s.deliverCopies(s.node(s.leader()), rnd, 30)
	}
	s.requireAnswers(t, accepted)
	s.run(60 * emulator.Second)
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		for try := 0; services[id] && s.lastStatus[id] != wire.Cancelled && try < 20; try++ {
			s.cancel(s.nodes[0], id)
		}
	}
	s.run(120 * emulator.Second)
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		told := accepted[id]
		a := s.poll(s.nodes[1], id)
		st, _ := a.Body.(wire.JobStatus)
		if told && st.Status != wire.Done && st.Status != wire.Cancelled {
			t.Errorf("%s (%s, %d tasks) has not ended: %s", id, s.env.Jobs[id].Shape, s.env.Jobs[id].Tasks, formatResponse(a))
		}
	}
	for _, wrong := range append(s.compareUsage(), s.env.Broken...) {
		t.Error(wrong)
	}
	if s.state.Refused > 0 {
		t.Errorf("%d transactions refused for their size", s.state.Refused)
	}
	t.Logf("%d machines rented, %d changes", s.env.Rented, s.state.Revision())
	if t.Failed() {
		t.Log(s.show())
	}
}

// compareUsage holds the accounts of all nodes against each other's, and against those of one
// that has just read the records. It returns what differs.
func (s *Sim) compareUsage() (wrong []string) {
	s.start(s.nodes[0])
	s.run(5 * emulator.Second)
	for _, n := range s.nodes[1:] {
		if !n.core.UsageLedger().Equal(s.nodes[0].core.UsageLedger()) {
			wrong = append(wrong, fmt.Sprintf("accounts of %s and of one that has just begun differ: %s and %s", n.name, formatUsage(n), formatUsage(s.nodes[0])))
		}
	}
	return wrong
}

// requireAnswers asks about every job, each time at the next node, until it has had an answer. No
// job may be without one for longer than this once all troubles are over.
func (s *Sim) requireAnswers(t *testing.T, jobs map[string]bool) {
	t.Helper()
	const forgottenAfter = 75 * emulator.Second
	over := s.now
	var left []string
	for id, told := range jobs {
		if told {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for round := 0; len(left) > 0; round++ {
		left = slices.DeleteFunc(left, func(id string) bool {
			a := s.poll(s.nodes[round%len(s.nodes)], id)
			return a.Status == 200
		})
		if s.now-over > forgottenAfter {
			t.Errorf("nobody answers for %v", left)
			return
		}
		s.run(emulator.Second)
	}
	t.Logf("all answered for after %d ms", (s.now-over)/1000)
}

// advanceUpgrade upgrades a node when its turn has come, one in each seventh of the
// events, and lets the limits fall after the last.
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

func randomJob(rnd *rand.Rand, id string, tasks int) *emulator.SubmittedJob {
	j := &emulator.SubmittedJob{Run: emulator.Micros(1+rnd.IntN(8)) * emulator.Second}
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
