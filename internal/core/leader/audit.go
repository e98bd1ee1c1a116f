package leader

import (
	"fmt"
	"math"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// auditor TODO
type auditor struct {
	*environment
	snapshot      *clusterSnapshot
	usageAccounts *usageAccounts
}

// audit holds what passes go by against the records, added up from nothing. What is
// on the lists to be looked at again is left out. It is for tests: a change that
// nobody has put on a list would show here.
func (au *auditor) audit() error {
	if err := au.auditAccounts(); err != nil {
		return err
	}
	if !au.ready || au.snapshot.rebuildDue || au.elector.TokenChangePending() {
		return nil
	}
	used := map[string]queue.Amount{}
	settled := len(au.snapshot.staleJobs) == 0
	planned := map[string]zone.Resources{}
	for _, j := range au.unfinished {
		spec := j.Record.Spec
		n := j.OpenTasks + len(j.plan)
		used[spec.Team] = used[spec.Team].Plus(taskAmount(spec), float64(n))
		for _, p := range j.plan {
			planned[p.Machine] = planned[p.Machine].Plus(taskResources(spec), 1)
		}
		wants := !j.Blocked() && j.DoneTasks+j.OpenTasks < spec.Tasks && !j.Record.Final() && !j.Record.CancelRequested && au.teams[spec.Team] != nil
		if !j.stale && wants != au.snapshot.wanting[j] {
			return fmt.Errorf("%s wants places: %v", j.ID, wants)
		}
	}
	if err := au.auditGuarantees(); settled && err != nil {
		return err
	}
	for _, team := range au.cfg.Cluster.Teams {
		a, b := used[team.Name], au.snapshot.used[team.Name]
		if settled && math.Abs(a.GPUs-b.GPUs)+math.Abs(a.CPUs-b.CPUs) > 1e-6 {
			return fmt.Errorf("team %s uses %v, reckoned with %v", team.Name, a, b)
		}
	}
	for _, m := range au.reconciler.Registry().All() {
		if m.Stale || m.Offer == nil {
			if !m.Stale && au.snapshot.schedulable(m) {
				return fmt.Errorf("machine %s offers nothing", m.Name)
			}
			continue
		}
		on := planned[m.Name]
		for _, key := range job.SortedAttemptKeys(au.replica.PlacementsOn(m.Name)) {
			if j := au.jobs[key.Job]; j != nil && j.Record.Spec != nil {
				on = on.Plus(taskResources(j.Record.Spec), 1)
			}
		}
		if d := on.Plus(m.Allocated, -1); math.Abs(d.GPUs)+math.Abs(d.CPUs)+math.Abs(d.MemoryGB) > 1e-6 {
			return fmt.Errorf("machine %s has %v placed, reckoned with %v", m.Name, on, m.Allocated)
		}
		if idle := len(au.replica.PlacementsOn(m.Name)) == 0 && planned[m.Name] == (zone.Resources{}); idle != (m.IdleSince != 0) {
			return fmt.Errorf("machine %s is idle: %v", m.Name, idle)
		}
	}
	return au.auditPlaces()
}

// auditGuarantees adds up from the front of each team's line who is within its guarantee.
func (au *auditor) auditGuarantees() error {
	inLine := slices.SortedFunc(slices.Values(au.unfinished), (*Job).compareQueuePosition)
	sums := map[string]queue.Amount{}
	for _, j := range inLine {
		spec := j.Record.Spec
		team := au.teams[spec.Team]
		if j.Record.Final() || team == nil || j.Blocked() || j.queuedBehind || !queue.HasGuarantee(team) {
			continue
		}
		sum := sums[spec.Team].Plus(taskAmount(spec), float64(spec.Tasks-j.DoneTasks))
		sums[spec.Team] = sum
		if queue.UnderGuarantee(team, sum) != au.snapshot.withinGuarantee(j) {
			return fmt.Errorf("%s is within its guarantee: %v", j.ID, !au.snapshot.withinGuarantee(j))
		}
	}
	return nil
}

// auditPlaces holds the open placements by machine against those by job.
func (au *auditor) auditPlaces() error {
	open := 0
	var wrong error
	for _, j := range au.jobs {
		j.EachPlacement(func(p job.Placement) {
			open++
			if _, ok := au.replica.PlacementsOn(p.Machine)[p.AttemptKey(j.ID)]; !ok {
				wrong = fmt.Errorf("%s/%d is not known to be on %s", j.ID, p.Task, p.Machine)
			}
		})
	}
	for _, machine := range au.replica.OccupiedMachines() {
		open -= len(au.replica.PlacementsOn(machine))
	}
	if wrong == nil && open != 0 {
		wrong = fmt.Errorf("%d placements more by job than by machine", open)
	}
	return wrong
}
