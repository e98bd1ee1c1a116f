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

// auditTolerance absorbs the rounding of sums of amounts.
const auditTolerance = 1e-6

// auditor compares the state that the leader keeps between cycles with the records. It is for tests.
type auditor struct {
	*environment
	snapshot      *clusterSnapshot
	usageAccounts *usageAccounts
}

// audit compares the snapshot with what the records add up to and returns the first difference. What is
// marked stale is left out: a change that has marked nothing shows here.
func (au *auditor) audit() error {
	if err := au.auditAccounts(); err != nil {
		return err
	}
	if !au.ready || au.snapshot.rebuildDue || au.elector.TokenChangePending() {
		return nil
	}
	if err := au.auditWanting(); err != nil {
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

// auditAccounts adds up the accounts anew.
func (au *auditor) auditAccounts() error {
	var fromRecords accounting.Ledger
	for _, j := range au.jobs {
		key, use := j.accountUsage()
		if key == (accounting.Key{}) && j.charged != (job.ResourceUsage{}) {
			return nil // a part was charged under an earlier storage format
		}
		fromRecords.Add(key, use)
	}
	if !fromRecords.Equal(&au.usageAccounts.ledger) {
		return errors.New("accounts differ from what the records add up to")
	}
	return nil
}

// auditWanting determines anew which jobs lack placements.
func (au *auditor) auditWanting() error {
	for _, j := range au.unfinished {
		spec := j.Record.Spec
		runnable := !j.Blocked() && !j.Record.Final() && !j.Record.CancelRequested
		wants := runnable && j.DoneTasks+j.OpenTasks < spec.Tasks && au.teams[spec.Team] != nil
		if !j.stale && wants != au.snapshot.wanting[j] {
			return fmt.Errorf("%s wants placements: %v", j.ID, wants)
		}
	}
	return nil
}

// auditTeamUse adds up anew what each team uses.
func (au *auditor) auditTeamUse() error {
	used := map[string]queue.Amount{}
	for _, j := range au.unfinished {
		spec := j.Record.Spec
		used[spec.Team] = used[spec.Team].Plus(taskAmount(spec), float64(j.OpenTasks+len(j.plan)))
	}
	for _, team := range au.cfg.Cluster.Teams {
		fromRecords, inSnapshot := used[team.Name], au.snapshot.used[team.Name]
		difference := fromRecords.Plus(inSnapshot, -1)
		if math.Abs(difference.GPUs)+math.Abs(difference.CPUs) > auditTolerance {
			return fmt.Errorf("team %s uses %v, in the snapshot %v", team.Name, fromRecords, inSnapshot)
		}
	}
	return nil
}

// auditGuarantees adds up anew, from the front of each team's queue, which jobs are within the
// guarantee.
func (au *auditor) auditGuarantees() error {
	ordered := slices.SortedFunc(slices.Values(au.unfinished), (*Job).compareQueuePosition)
	sums := map[string]queue.Amount{}
	for _, j := range ordered {
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

// auditMachines adds up anew what is placed on each machine or planned for it.
func (au *auditor) auditMachines() error {
	planned := au.plannedResources()
	for _, m := range au.reconciler.Registry().All() {
		if m.Stale {
			continue
		}
		if m.Offer == nil {
			if au.snapshot.schedulable(m) {
				return fmt.Errorf("machine %s is schedulable and offers nothing", m.Name)
			}
			continue
		}
		if err := au.auditMachine(m, planned[m.Name]); err != nil {
			return err
		}
	}
	return nil
}

// plannedResources adds up by machine what is planned and not yet committed.
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
		return fmt.Errorf("machine %s has %v allocated, in the snapshot %v", m.Name, allocated, m.Allocated)
	}
	idle := len(open) == 0 && planned == (zone.Resources{})
	if idle != (m.IdleSince != 0) {
		return fmt.Errorf("machine %s is idle: %v", m.Name, idle)
	}
	return nil
}

// auditPlacements compares the open placements by machine with those by job.
func (au *auditor) auditPlacements() error {
	open := 0
	var err error
	for _, j := range au.jobs {
		j.EachPlacement(func(p job.Placement) {
			open++
			if _, ok := au.replica.PlacementsOn(p.Machine)[p.AttemptKey(j.ID)]; !ok {
				err = fmt.Errorf("%s/%d is not known to be on %s", j.ID, p.Task, p.Machine)
			}
		})
	}
	for _, machine := range au.replica.OccupiedMachines() {
		open -= len(au.replica.PlacementsOn(machine))
	}
	if err == nil && open != 0 {
		err = fmt.Errorf("%d placements more by job than by machine", open)
	}
	return err
}
