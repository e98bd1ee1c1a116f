package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// closePolling has users send several requests at once to all nodes whenever a job was accepted,
// ended or confirmed as cancelled: polls and repeated submissions, and some cancel it then.
// Messages are delivered in any order meanwhile, as on real links.
type closePolling struct {
	rnd *rand.Rand
	// cancel is the fraction of jobs that are cancelled by these users, atEnd of those that are
	// cancelled just as their last task ends.
	cancel, atEnd float64
	ended         map[string]bool // jobs whose last task has ended
}

// pollsEach is how often each of the users polls.
const pollsEach = 4

func newClosePolling(seed uint64, cancel, atEnd float64) *closePolling {
	return &closePolling{rnd: rand.New(rand.NewPCG(seed, 31)), cancel: cancel, atEnd: atEnd, ended: map[string]bool{}}
}

// next draws which of n messages in flight is delivered next; without close polling the first.
func (c *closePolling) next(n int) int {
	if c == nil {
		return 0
	}
	return c.rnd.IntN(n)
}

// shuffled returns the nodes in the order in which they run in a tick.
func (c *closePolling) shuffled(nodes []*node) []*node {
	if c == nil {
		return nodes
	}
	out := slices.Clone(nodes)
	c.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pollClosely adds users that poll a job and repeat its submission at every node at once.
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

// actOnEndedJobs adds users that poll jobs, repeat their submission or cancel them just as their last
// task ends.
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

// jobIDs returns the ids of the submitted jobs in order.
func (s *Sim) jobIDs() []string { return slices.Sorted(maps.Keys(s.env.Jobs)) }
