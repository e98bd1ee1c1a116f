package leader

import "coralhub/internal/core/query"

// gauges returns the values of the gauge metrics. Those that need the leader's state are empty unless this node is the
// leader and ready.
func (oq *operatorQueries) gauges() query.Gauges {
	g := query.Gauges{
		Leading:         oq.ready,
		Records:         len(oq.jobs),
		Unfinished:      len(oq.unfinished),
		InFlightChanges: oq.commits.inFlightChanges,
		Failovers:       oq.failovers,
		TokensRaised:    oq.reconciler.TokensRaised(),
		Statistics:      oq.snapshot.statistics,
		Waiting:         map[string]int{},
		Machines:        map[string]int{},
	}
	for _, j := range oq.unfinished {
		g.Placements += j.OpenTasks
	}
	if !oq.ready {
		return g
	}
	for j := range oq.snapshot.lackingPlacements {
		class := j.Record.Spec.Class
		if _, listed := g.Waiting[class]; !listed && len(g.Waiting) >= maxClasses {
			class = "" // users choose class names, so the number of time series has to be bounded
		}
		g.Waiting[class]++
	}
	g.Machines = oq.diagnostics.countMachinesByState()
	for _, m := range oq.reconciler.Registry().All() {
		g.ExitedAttempts += m.ExitedAttempts()
	}
	g.Usage = oq.listUsage(maxClasses)
	g.CompletedInTime = oq.slo.Tracker().CompletedInTime(oq.wallClock())
	g.StartedInTime = oq.slo.Tracker().StartedInTime(oq.wallClock())
	if oq.estimates.model != nil {
		g.EstimateRuns = oq.estimates.model.Observed()
	}
	return g
}
