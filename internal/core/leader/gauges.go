package leader

import "coralhub/internal/core/slo"

// Gauges are the counts of a node at a moment, for the metrics, and some since its process began.
type Gauges struct {
	Leading         bool
	Records         int            // known jobs, finished ones included
	Unfinished      int            // jobs
	Waiting         map[string]int // jobs that lack placements, by class; on the leader
	Machines        map[string]int // by state; on the leader
	Placements      int            // open
	InFlightChanges int            // changes of jobs in flight
	Failovers       uint64         // how often this node was elected
	Statistics      CycleStatistics
	EstimateRuns    uint64 // observed by the model of run times; on the leader

	CompletedInTime, StartedInTime slo.Attainment // on the leader
	Usage                          []UsageRow     // on the leader
}

// gauges counts.
func (oq *operatorQueries) gauges() Gauges {
	g := Gauges{
		Leading:         oq.ready,
		Records:         len(oq.jobs),
		Unfinished:      len(oq.unfinished),
		InFlightChanges: oq.commits.inFlightChanges,
		Failovers:       oq.failovers,
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
	for j := range oq.snapshot.wanting {
		class := j.Record.Spec.Class
		if _, listed := g.Waiting[class]; !listed && len(g.Waiting) >= maxClasses {
			class = "" // users choose the names: the number of time series has to be bounded
		}
		g.Waiting[class]++
	}
	g.Machines = oq.diagnostics.states()
	g.Usage = oq.listUsage(maxClasses)
	g.CompletedInTime = oq.slo.Tracker().CompletedInTime(oq.wallClock())
	g.StartedInTime = oq.slo.Tracker().StartedInTime(oq.wallClock())
	if oq.estimates.model != nil {
		g.EstimateRuns = oq.estimates.model.Observed()
	}
	return g
}
