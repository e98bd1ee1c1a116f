package leader

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// auditTolerance allows for rounding errors in sums of resource amounts.
const auditTolerance = 1e-6

// auditor compares the state that the leader keeps between cycles with the records. It is used by tests only.
type auditor struct {
	*environment
	snapshot      *clusterSnapshot
	usageAccounts *usageAccounts
}

// audit compares the snapshot with a recomputation from the records and returns the first difference. It skips
// machines and jobs that are marked stale, so it detects changes that failed to mark what they affect.
func (au *auditor) audit() error {
	if err := au.auditAccounts(); err != nil {
		return err
	}
	if !au.ready || au.snapshot.rebuildDue || au.elector.TokenChangePending() {
		return nil
	}
	if err := au.auditJobsLackingPlacements(); err != nil {
		return err
	}
	if len(au.snapshot.staleJobs) == 0 {
		if err := au.auditGuarantees(); err != nil {
			return err
		}
		if err := au.auditTeamUse(); err != nil {
			return err
		}
	}
	if err := au.auditMachines(); err != nil {
		return err
	}
	return au.auditPlacements()
}

// auditAccounts recomputes the accounts.
func (au *auditor) auditAccounts() error {
	var fromRecords accounting.Ledger
	for _, j := range au.jobs {
		key, use := j.accountUsage()
		if key == (accounting.Key{}) && j.charged != (job.ResourceUsage{}) {
			return nil // part of the usage was charged under an earlier storage format
		}
		fromRecords.Add(key, use)
	}
	if !fromRecords.Equal(&au.usageAccounts.ledger) {
		return errors.New("usage accounts differ from the sums over the records")
	}
	return nil
}

// auditJobsLackingPlacements recomputes which jobs lack placements.
func (au *auditor) auditJobsLackingPlacements() error {
	for _, j := range au.unfinished {
		spec := j.Record.Spec
		runnable := !j.Blocked() && !j.Record.Final() && !j.Record.CancelRequested
		lacking := runnable && j.DoneTasks+j.OpenTasks < spec.Tasks && au.teams[spec.Team] != nil
		if !j.stale && lacking != au.snapshot.lackingPlacements[j] {
			return fmt.Errorf("job %s lacks placements: %v by its record, %v in the snapshot", j.ID, lacking, !lacking)
		}
	}
	return nil
}

// auditTeamUse recomputes what each team uses.
func (au *auditor) auditTeamUse() error {
	used := map[string]queue.Amount{}
	for _, j := range au.unfinished {
		spec := j.Record.Spec
		used[spec.Team] = used[spec.Team].Plus(taskAmount(spec), j.OpenTasks+len(j.plan))
	}
	for _, team := range au.cfg.Cluster.Teams {
		if fromRecords, inSnapshot := used[team.Name], au.snapshot.used[team.Name]; fromRecords != inSnapshot {
			return fmt.Errorf("team %s uses %v by the records, %v in the snapshot", team.Name, fromRecords, inSnapshot)
		}
	}
	return nil
}

// auditGuarantees recomputes, from the front of each team's queue, which jobs are within the team's guarantee.
func (au *auditor) auditGuarantees() error {
	ordered := slices.SortedFunc(slices.Values(au.unfinished), (*Job).compareQueuePosition)
	sums := map[string]queue.Amount{}
	for _, j := range ordered {
		spec := j.Record.Spec
		team := au.teams[spec.Team]
		if j.Record.Final() || team == nil || j.Blocked() || j.queuedLast || !queue.HasGuarantee(team) {
			continue
		}
		sum := sums[spec.Team].Plus(taskAmount(spec), spec.Tasks-j.DoneTasks)
		sums[spec.Team] = sum
		fromRecords, inSnapshot := queue.WithinGuarantee(team, sum), au.snapshot.withinGuarantee(j)
		if fromRecords != inSnapshot {
			return fmt.Errorf("job %s is within its team's guarantee: %v by the records, %v in the snapshot",
				j.ID, fromRecords, inSnapshot)
		}
	}
	return nil
}

// auditMachines recomputes the resources that are allocated on each machine to placed and planned tasks.
func (au *auditor) auditMachines() error {
	planned := au.plannedResources()
	for _, m := range au.reconciler.Registry().All() {
		if m.Stale {
			continue
		}
		if m.Offer == nil {
			if au.snapshot.schedulable(m) {
				return fmt.Errorf("machine %s is schedulable without an offer", m.Name)
			}
			continue
		}
		if err := au.auditMachine(m, planned[m.Name]); err != nil {
			return err
		}
	}
	return nil
}

// plannedResources sums up, by machine, the resources of planned placements that are not committed yet.
func (au *auditor) plannedResources() map[string]zone.Resources {
	planned := map[string]zone.Resources{}
	for _, j := range au.unfinished {
		for _, p := range j.plan {
			planned[p.Machine] = planned[p.Machine].Plus(taskResources(j.Record.Spec), 1)
		}
	}
	return planned
}

// auditMachine compares the allocated resources and the idle state of a machine with its placements.
func (au *auditor) auditMachine(m *zone.Machine, planned zone.Resources) error {
	open := au.replica.PlacementsOn(m.Name)
	allocated := planned
	for _, key := range job.SortedAttemptKeys(open) {
		if j := au.jobs[key.Job]; j != nil && j.Record.Spec != nil {
			allocated = allocated.Plus(taskResources(j.Record.Spec), 1)
		}
	}
	difference := allocated.Plus(m.Allocated, -1)
	if math.Abs(difference.GPUs)+math.Abs(difference.CPUs)+math.Abs(difference.MemoryGB) > auditTolerance {
		return fmt.Errorf("machine %s has %v allocated by the records, %v in the snapshot", m.Name, allocated, m.Allocated)
	}
	idle := len(open) == 0 && planned == (zone.Resources{})
	if idle != (m.IdleSince != 0) {
		return fmt.Errorf("machine %s is idle: %v by its placements, %v in the snapshot", m.Name, idle, !idle)
	}
	return nil
}

// auditPlacements compares the replica's index of open placements by machine with the placements of all jobs.
func (au *auditor) auditPlacements() error {
	open := 0
	var err error
	for _, j := range au.jobs {
		j.EachPlacement(func(p job.Placement) {
			open++
			if _, ok := au.replica.PlacementsOn(p.Machine)[p.AttemptKey(j.ID)]; !ok {
				err = fmt.Errorf("open placement of task %s/%d is missing from the index of machine %s", j.ID, p.Task, p.Machine)
			}
		})
	}
	for _, machine := range au.replica.OccupiedMachines() {
		open -= len(au.replica.PlacementsOn(machine))
	}
	if err == nil && open != 0 {
		err = fmt.Errorf("open placements by job minus open placements by machine: expected 0, found %d", open)
	}
	return err
}
