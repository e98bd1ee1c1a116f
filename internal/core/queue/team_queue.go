package queue

import (
	"cmp"
	"slices"

	"coralhub/internal/config"
)

// QueuedJob is a job in its team's line.
type QueuedJob struct {
	Created         config.Micros
	ID              string
	WithinGuarantee bool // it fits into the guarantee together with the earlier ones

	amount Amount
	queued bool
}

// TeamQueue keeps a team's unfinished jobs, the oldest first, and how many of them fit
// into the team's guarantee. What they need only adds up, so those within are the
// first so many; a change moves that border instead of adding up anew.
type TeamQueue struct {
	team    *config.Team
	members []*QueuedJob
	within  int    // so many, from the first on
	sum     Amount // of them
}

// NewTeamQueue returns the line of a team that has a guarantee.
func NewTeamQueue(t *config.Team) *TeamQueue { return &TeamQueue{team: t} }

func order(a, b *QueuedJob) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
}

// Update takes what a job that is in line needs now.
func (l *TeamQueue) Update(m *QueuedJob, a Amount) {
	switch {
	case !m.queued:
		i, _ := slices.BinarySearchFunc(l.members, m, order)
		l.members = slices.Insert(l.members, i, m)
		m.queued = true
		if m.WithinGuarantee = i < l.within; m.WithinGuarantee {
			l.within++
			l.sum = l.sum.Plus(a, 1)
		}
	case m.WithinGuarantee:
		l.sum = l.sum.Plus(a, 1).Plus(m.amount, -1)
	}
	m.amount = a
	l.recompute()
}

// Remove takes a job out of the line.
func (l *TeamQueue) Remove(m *QueuedJob) {
	if !m.queued {
		return
	}
	i, _ := slices.BinarySearchFunc(l.members, m, order)
	l.members = slices.Delete(l.members, i, i+1)
	if m.WithinGuarantee {
		l.within--
		l.sum = l.sum.Plus(m.amount, -1)
	}
	m.queued, m.WithinGuarantee = false, false
	l.recompute()
}

// recompute moves the border to where the guarantee ends.
func (l *TeamQueue) recompute() {
	for l.within > 0 && !UnderGuarantee(l.team, l.sum) {
		l.within--
		m := l.members[l.within]
		m.WithinGuarantee = false
		l.sum = l.sum.Plus(m.amount, -1)
	}
	for l.within < len(l.members) {
		m := l.members[l.within]
		more := l.sum.Plus(m.amount, 1)
		if !UnderGuarantee(l.team, more) {
			return
		}
		m.WithinGuarantee = true
		l.sum = more
		l.within++
	}
}
