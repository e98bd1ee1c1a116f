package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// closePolling has users ask again and again within a moment after a job was accepted, ended or
// confirmed as cancelled, at all nodes at once, and repeat its submission; some cancel it then.
// What is on its way comes in any order meanwhile, as it does on real links.
type closePolling struct {
	rnd *rand.Rand
	// cancel is the part of the jobs that are cancelled by one who looks, atEnd of those that are
	// just as their last task ends.
	cancel, atEnd float64
	ended         map[string]bool // jobs whose last task has ended
}

// pollsEach is how often each looks.
const pollsEach = 4

func newClosePolling(seed uint64, cancel, atEnd float64) *closePolling {
	return &closePolling{rnd: rand.New(rand.NewPCG(seed, 31)), cancel: cancel, atEnd: atEnd, ended: map[string]bool{}}
}

// next picks which of n messages comes next.
func (l *closePolling) next(n int) int {
	if l == nil {
		return 0
	}
	return l.rnd.IntN(n)
}

// shuffled are the nodes in the order in which they get the processor.
func (l *closePolling) shuffled(nodes []*node) []*node {
	if l == nil {
		return nodes
	}
	out := slices.Clone(nodes)
	l.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pollClosely has users ask about a job at every node, now.
func (s *Sim) pollClosely(id string) {
	if s.closePolling == nil {
		return
	}
	for i := range s.nodes {
		s.users = append(s.users, &user{id: id, remaining: pollsEach, nextAt: s.now, answeredAt: s.now, attempts: i},
			&user{id: id, resubmit: true, remaining: 2, nextAt: s.now, answeredAt: s.now, attempts: i})
	}
	if !isFinal(s.lastStatus[id]) && s.closePolling.rnd.Float64() < s.closePolling.cancel {
		s.cancelUntilFinal(id)
	}
}

// actOnEndedJobs has users cancel jobs, ask and repeat the submission just as their last task ends.
func (s *Sim) actOnEndedJobs() {
	if s.closePolling == nil {
		return
	}
	for _, id := range s.jobIDs() {
		if s.closePolling.ended[id] || !s.env.Done(id) {
			continue
		}
		s.closePolling.ended[id] = true
		s.pollClosely(id)
		if s.closePolling.rnd.Float64() < s.closePolling.atEnd {
			s.cancelUntilFinal(id)
		}
	}
}

// jobIDs lists the jobs that users have submitted, in order.
func (s *Sim) jobIDs() []string { return slices.Sorted(maps.Keys(s.env.Jobs)) }
