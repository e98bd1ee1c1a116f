package autoscaler

import "coralhub/internal/core/zone"

const (
	// correlatedFailureFactor is how many times longer a machine is kept without contact while its
	// zone has a correlated failure.
	correlatedFailureFactor = 6
	// A zone has a correlated failure if at least two of its machines, and more than
	// 1/correlatedFailureShare of them, are without contact.
	correlatedFailureShare = 3
)

// correlatedFailures is the set of zones in which so many machines are without contact that the
// cause is more likely the network than the machines. It is nil until it is computed on first use.
type correlatedFailures map[string]bool

// inCorrelatedFailure reports whether a machine's zone has a correlated failure.
func (a *Autoscaler) inCorrelatedFailure(m *zone.Machine, failures *correlatedFailures) bool {
	if *failures == nil {
		*failures = a.findCorrelatedFailures()
	}
	return (*failures)[m.Zone]
}

// findCorrelatedFailures finds the zones with a correlated failure. Machines whose messages arrive
// only through a relay count as without contact, since they indicate a network partition.
func (a *Autoscaler) findCorrelatedFailures() correlatedFailures {
	lost, total := map[string]int{}, map[string]int{}
	for _, m := range a.machines.Registry().All() {
		neverSeen := m.Incarnation == 0 && m.LastMessageAt == 0
		if neverSeen && len(a.replica.PlacementsOn(m.Name)) == 0 {
			continue
		}
		total[m.Zone]++
		if a.contactLost(m) {
			lost[m.Zone]++
		}
	}
	failures := correlatedFailures{}
	for name, n := range lost {
		failures[name] = n > 1 && n*correlatedFailureShare > total[name]
	}
	return failures
}

// contactLost reports whether messages from or to a machine's worker seem to be lost.
func (a *Autoscaler) contactLost(m *zone.Machine) bool {
	sinceContact := a.outbox.Now() - max(m.LastContactAt, a.activeSince)
	return m.Reachability.Unreachable() || m.HeartbeatsLostSince != 0 || sinceContact > a.cfg.WorkerTimeout()/2
}
