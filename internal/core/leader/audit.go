package leader

import (
	"fmt"
	"math"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// Audit holds what passes go by against the records, added up from nothing. What is
// on the lists to be looked at again is left out. It is for tests: a change that
// nobody has put on a list would show here.
func (l *Leader) Audit() error {
	if err := l.auditAccounts(); err != nil {
		return err
	}
	if !l.ready || l.survey.whole || l.claim.Raising() {
		return nil
	}
	used := map[string]queue.Amount{}
	settled := len(l.survey.jobs) == 0
	planned := map[string]zone.Res{}
	for _, j := range l.active {
		spec := j.Rec.Spec
		n := j.Open + len(j.plan)
		used[spec.Team] = used[spec.Team].Plus(taskAmount(spec), float64(n))
		for _, p := range j.plan {
			planned[p.Machine] = planned[p.Machine].Plus(taskRes(spec), 1)
		}
		wants := !j.Held() && j.Done+j.Open < spec.Tasks && !j.Rec.Final() && !j.Rec.Cancel && l.teams[spec.Team] != nil
		if !j.listed && wants != l.survey.wanting[j] {
			return fmt.Errorf("%s wants places: %v", j.ID, wants)
		}
	}
	if err := l.auditGuarantees(); settled && err != nil {
		return err
	}
	for _, team := range l.cfg.Cluster.Teams {
		a, b := used[team.Name], l.survey.used[team.Name]
		if settled && math.Abs(a.GPUs-b.GPUs)+math.Abs(a.CPUs-b.CPUs) > 1e-6 {
			return fmt.Errorf("team %s uses %v, reckoned with %v", team.Name, a, b)
		}
	}
	for _, m := range l.owner.Roster().All() {
		if m.Stale || m.Room == nil {
			if !m.Stale && l.offers(m) {
				return fmt.Errorf("machine %s offers nothing", m.Name)
			}
			continue
		}
		on := planned[m.Name]
		for _, key := range job.SortedKeys(l.replica.OpenOn(m.Name)) {
			if j := l.jobs[key.Job]; j != nil && j.Rec.Spec != nil {
				on = on.Plus(taskRes(j.Rec.Spec), 1)
			}
		}
		if d := on.Plus(m.Used, -1); math.Abs(d.GPUs)+math.Abs(d.CPUs)+math.Abs(d.MemoryGB) > 1e-6 {
			return fmt.Errorf("machine %s has %v placed, reckoned with %v", m.Name, on, m.Used)
		}
		if idle := len(l.replica.OpenOn(m.Name)) == 0 && planned[m.Name] == (zone.Res{}); idle != (m.IdleSince != 0) {
			return fmt.Errorf("machine %s is idle: %v", m.Name, idle)
		}
	}
	return l.auditPlaces()
}

// auditGuarantees adds up from the front of each team's line who is within its guarantee.
func (l *Leader) auditGuarantees() error {
	inLine := slices.SortedFunc(slices.Values(l.active), (*Job).before)
	sums := map[string]queue.Amount{}
	for _, j := range inLine {
		spec := j.Rec.Spec
		team := l.teams[spec.Team]
		if j.Rec.Final() || team == nil || j.Held() || j.behind || !queue.HasGuarantee(team) {
			continue
		}
		sum := sums[spec.Team].Plus(taskAmount(spec), float64(spec.Tasks-j.Done))
		sums[spec.Team] = sum
		if queue.UnderGuarantee(team, sum) != l.within(j) {
			return fmt.Errorf("%s is within its guarantee: %v", j.ID, !l.within(j))
		}
	}
	return nil
}

// auditPlaces holds the open placements by machine against those by job.
func (l *Leader) auditPlaces() error {
	open := 0
	var wrong error
	for _, j := range l.jobs {
		j.EachOpen(func(p job.Placement) {
			open++
			if _, ok := l.replica.OpenOn(p.Machine)[p.Key(j.ID)]; !ok {
				wrong = fmt.Errorf("%s/%d is not known to be on %s", j.ID, p.Task, p.Machine)
			}
		})
	}
	for _, machine := range l.replica.Used() {
		open -= len(l.replica.OpenOn(machine))
	}
	if wrong == nil && open != 0 {
		wrong = fmt.Errorf("%d placements more by job than by machine", open)
	}
	return wrong
}
