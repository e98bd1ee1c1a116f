package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// looks has users ask again and again within a moment after a job was accepted, ended or
// confirmed as cancelled, at all nodes at once, and repeat its submission; some cancel it then.
// What is on its way comes in any order meanwhile, as it does on real links.
type looks struct {
	rnd *rand.Rand
	// cancel is the part of the jobs that are cancelled by one who looks, atEnd of those that are
	// just as their last task ends.
	cancel, atEnd float64
	ended         map[string]bool // jobs whose last task has ended
}

// looksEach is how often each looks.
const looksEach = 4

func newLooks(seed uint64, cancel, atEnd float64) *looks {
	return &looks{rnd: rand.New(rand.NewPCG(seed, 31)), cancel: cancel, atEnd: atEnd, ended: map[string]bool{}}
}

// pick picks which of n messages comes next.
func (l *looks) pick(n int) int {
	if l == nil {
		return 0
	}
	return l.rnd.IntN(n)
}

// shuffled are the nodes in the order in which they get the processor.
func (l *looks) shuffled(nodes []*node) []*node {
	if l == nil {
		return nodes
	}
	out := slices.Clone(nodes)
	l.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// lookClosely has users ask about a job at every node, now.
func (s *Sim) lookClosely(id string) {
	if s.looks == nil {
		return
	}
	for i := range s.nodes {
		s.users = append(s.users, &user{id: id, left: looksEach, next: s.now, answered: s.now, tries: i},
			&user{id: id, again: true, left: 2, next: s.now, answered: s.now, tries: i})
	}
	if !final(s.told[id]) && s.looks.rnd.Float64() < s.looks.cancel {
		s.Withdraw(id)
	}
}

// atEnd has users cancel jobs, ask and repeat the submission just as their last task ends.
func (s *Sim) atEnd() {
	if s.looks == nil {
		return
	}
	for _, id := range s.jobIDs() {
		if s.looks.ended[id] || !s.world.Done(id) {
			continue
		}
		s.looks.ended[id] = true
		s.lookClosely(id)
		if s.looks.rnd.Float64() < s.looks.atEnd {
			s.Withdraw(id)
		}
	}
}

// jobIDs lists the jobs that users have submitted, in order.
func (s *Sim) jobIDs() []string { return slices.Sorted(maps.Keys(s.world.Jobs)) }
