package leader

import (
	"fmt"
	"math"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// audit holds what passes go by against the records, added up from nothing. What is
// on the lists to be looked at again is left out. It is for tests: a change that
// nobody has put on a list would show here.
func (l *Leader) audit() error {
	if err := l.auditAccounts(); err != nil {
		return err
	}
	if !l.ready || l.snapshot.rebuildDue || l.elector.TokenChangePending() {
		return nil
	}
	used := map[string]queue.Amount{}
	settled := len(l.snapshot.staleJobs) == 0
	planned := map[string]zone.Resources{}
	for _, j := range l.unfinished {
		spec := j.Record.Spec
		n := j.OpenTasks + len(j.plan)
		used[spec.Team] = used[spec.Team].Plus(taskAmount(spec), float64(n))
		for _, p := range j.plan {
			planned[p.Machine] = planned[p.Machine].Plus(taskResources(spec), 1)
		}
		wants := !j.Blocked() && j.DoneTasks+j.OpenTasks < spec.Tasks && !j.Record.Final() && !j.Record.CancelRequested && l.teams[spec.Team] != nil
		if !j.stale && wants != l.snapshot.wanting[j] {
			return fmt.Errorf("%s wants places: %v", j.ID, wants)
		}
	}
	if err := l.auditGuarantees(); settled && err != nil {
		return err
	}
	for _, team := range l.cfg.Cluster.Teams {
		a, b := used[team.Name], l.snapshot.used[team.Name]
		if settled && math.Abs(a.GPUs-b.GPUs)+math.Abs(a.CPUs-b.CPUs) > 1e-6 {
			return fmt.Errorf("team %s uses %v, reckoned with %v", team.Name, a, b)
		}
	}
	for _, m := range l.reconciler.Registry().All() {
		if m.Stale || m.Offer == nil {
			if !m.Stale && l.schedulable(m) {
				return fmt.Errorf("machine %s offers nothing", m.Name)
			}
			continue
		}
		on := planned[m.Name]
		for _, key := range job.SortedAttemptKeys(l.replica.PlacementsOn(m.Name)) {
			if j := l.jobs[key.Job]; j != nil && j.Record.Spec != nil {
				on = on.Plus(taskResources(j.Record.Spec), 1)
			}
		}
		if d := on.Plus(m.Allocated, -1); math.Abs(d.GPUs)+math.Abs(d.CPUs)+math.Abs(d.MemoryGB) > 1e-6 {
			return fmt.Errorf("machine %s has %v placed, reckoned with %v", m.Name, on, m.Allocated)
		}
		if idle := len(l.replica.PlacementsOn(m.Name)) == 0 && planned[m.Name] == (zone.Resources{}); idle != (m.IdleSince != 0) {
			return fmt.Errorf("machine %s is idle: %v", m.Name, idle)
		}
	}
	return l.auditPlaces()
}

// auditGuarantees adds up from the front of each team's line who is within its guarantee.
func (l *Leader) auditGuarantees() error {
	inLine := slices.SortedFunc(slices.Values(l.unfinished), (*Job).compareQueuePosition)
	sums := map[string]queue.Amount{}
	for _, j := range inLine {
		spec := j.Record.Spec
		team := l.teams[spec.Team]
		if j.Record.Final() || team == nil || j.Blocked() || j.queuedBehind || !queue.HasGuarantee(team) {
			continue
		}
		sum := sums[spec.Team].Plus(taskAmount(spec), float64(spec.Tasks-j.DoneTasks))
		sums[spec.Team] = sum
		if queue.UnderGuarantee(team, sum) != l.withinGuarantee(j) {
			return fmt.Errorf("%s is within its guarantee: %v", j.ID, !l.withinGuarantee(j))
		}
	}
	return nil
}

// auditPlaces holds the open placements by machine against those by job.
func (l *Leader) auditPlaces() error {
	open := 0
	var wrong error
	for _, j := range l.jobs {
		j.EachPlacement(func(p job.Placement) {
			open++
			if _, ok := l.replica.PlacementsOn(p.Machine)[p.AttemptKey(j.ID)]; !ok {
				wrong = fmt.Errorf("%s/%d is not known to be on %s", j.ID, p.Task, p.Machine)
			}
		})
	}
	for _, machine := range l.replica.OccupiedMachines() {
		open -= len(l.replica.PlacementsOn(machine))
	}
	if wrong == nil && open != 0 {
		wrong = fmt.Errorf("%d placements more by job than by machine", open)
	}
	return wrong
}
