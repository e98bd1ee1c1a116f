package queue

import (
	"cmp"
	"slices"

	"coralhub/internal/config"
)

// Member is a job in its team's line.
type Member struct {
	Created config.Micros
	ID      string
	Within  bool // it fits into the guarantee together with the earlier ones

	amount Amount
	in     bool
}

// Line keeps a team's unfinished jobs, the oldest first, and how many of them fit
// into the team's guarantee. What they need only adds up, so those within are the
// first so many; a change moves that border instead of adding up anew.
type Line struct {
	team    *config.Team
	members []*Member
	within  int    // so many, from the first on
	sum     Amount // of them
}

// NewLine returns the line of a team that has a guarantee.
func NewLine(t *config.Team) *Line { return &Line{team: t} }

func order(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
}

// Set takes what a job that is in line needs now.
func (l *Line) Set(m *Member, a Amount) {
	switch {
	case !m.in:
		i, _ := slices.BinarySearchFunc(l.members, m, order)
		l.members = slices.Insert(l.members, i, m)
		m.in = true
		if m.Within = i < l.within; m.Within {
			l.within++
			l.sum = l.sum.Plus(a, 1)
		}
	case m.Within:
		l.sum = l.sum.Plus(a, 1).Plus(m.amount, -1)
	}
	m.amount = a
	l.settle()
}

// Leave takes a job out of the line.
func (l *Line) Leave(m *Member) {
	if !m.in {
		return
	}
	i, _ := slices.BinarySearchFunc(l.members, m, order)
	l.members = slices.Delete(l.members, i, i+1)
	if m.Within {
		l.within--
		l.sum = l.sum.Plus(m.amount, -1)
	}
	m.in, m.Within = false, false
	l.settle()
}

// settle moves the border to where the guarantee ends.
func (l *Line) settle() {
	for l.within > 0 && !UnderGuarantee(l.team, l.sum) {
		l.within--
		m := l.members[l.within]
		m.Within = false
		l.sum = l.sum.Plus(m.amount, -1)
	}
	for l.within < len(l.members) {
		m := l.members[l.within]
		more := l.sum.Plus(m.amount, 1)
		if !UnderGuarantee(l.team, more) {
			return
		}
		m.Within = true
		l.sum = more
		l.within++
	}
}
