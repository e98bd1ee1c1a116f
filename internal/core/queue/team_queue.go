package queue

import (
	"cmp"
	"slices"

	"coralhub/internal/config"
)

// QueuedJob is a job in its team's queue.
type QueuedJob struct {
	Created         config.Micros // sort key of the queue; must not change while the job is queued
	ID              string
	WithinGuarantee bool // whether it fits into the guarantee together with the jobs before it

	amount Amount
	queued bool
}

// TeamQueue holds a team's unfinished jobs, the oldest first, and how many of them fit into the team's
// guarantee. Amounts are not negative, so the jobs within the guarantee are a prefix of the queue. An update moves the
// end of this prefix instead of adding up all amounts again.
type TeamQueue struct {
	team    *config.Team
	members []*QueuedJob
	within  int    // length of the prefix of members within the guarantee
	sum     Amount // needs of these members
}

// NewTeamQueue returns an empty queue of a team that has a guarantee.
func NewTeamQueue(t *config.Team) *TeamQueue { return &TeamQueue{team: t} }

// compareByAge compares jobs by creation time, then by id.
func compareByAge(a, b *QueuedJob) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
}

// Update sets the amount that a job needs. It adds the job if it is not in the queue.
func (tq *TeamQueue) Update(m *QueuedJob, a Amount) {
	switch {
	case !m.queued:
		i, _ := slices.BinarySearchFunc(tq.members, m, compareByAge)
		tq.members = slices.Insert(tq.members, i, m)
		m.queued = true
		m.WithinGuarantee = i < tq.within
		if m.WithinGuarantee {
			tq.within++
			tq.sum = tq.sum.Plus(a, 1)
		}
	case m.WithinGuarantee:
		tq.sum = tq.sum.Plus(a, 1).Plus(m.amount, -1)
	}
	m.amount = a
	tq.recompute()
}

// Remove removes a job from the queue. It does nothing if the job is not queued.
func (tq *TeamQueue) Remove(m *QueuedJob) {
	if !m.queued {
		return
	}
	i, _ := slices.BinarySearchFunc(tq.members, m, compareByAge)
	tq.members = slices.Delete(tq.members, i, i+1)
	if m.WithinGuarantee {
		tq.within--
		tq.sum = tq.sum.Plus(m.amount, -1)
	}
	m.queued, m.WithinGuarantee = false, false
	tq.recompute()
}

// recompute moves the end of the prefix of jobs within the guarantee to the last job that still fits.
func (tq *TeamQueue) recompute() {
	for tq.within > 0 && !WithinGuarantee(tq.team, tq.sum) {
		tq.within--
		last := tq.members[tq.within]
		last.WithinGuarantee = false
		tq.sum = tq.sum.Plus(last.amount, -1)
	}
	for tq.within < len(tq.members) {
		next := tq.members[tq.within]
		sum := tq.sum.Plus(next.amount, 1)
		if !WithinGuarantee(tq.team, sum) {
			return
		}
		next.WithinGuarantee = true
		tq.sum = sum
		tq.within++
	}
}
