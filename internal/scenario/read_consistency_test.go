package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// concurrentRequests has users send several requests at once to all nodes whenever a job was accepted,
// ended or confirmed as cancelled: polls and repeated submissions, and some users cancel the job then.
// With it, messages are delivered in any order, as on real links.
type concurrentRequests struct {
	rnd *rand.Rand
	// cancel is the fraction of jobs that these users cancel, and atEnd the fraction that they cancel just
	// as the last task ends.
	cancel, atEnd float64
	ended         map[string]bool // jobs whose last task has ended
}

// pollsPerUser is how often each user of concurrentRequests polls.
const pollsPerUser = 4

func newConcurrentRequests(seed uint64, cancel, atEnd float64) *concurrentRequests {
	return &concurrentRequests{rnd: rand.New(rand.NewPCG(seed, 31)), cancel: cancel, atEnd: atEnd,
		ended: map[string]bool{}}
}

// nextDelivery draws which of n messages in flight is delivered next. If c is nil that is the first one.
func (c *concurrentRequests) nextDelivery(n int) int {
	if c == nil {
		return 0
	}
	return c.rnd.IntN(n)
}

// nodeOrder returns the nodes in the order in which they run in a tick, which is random unless c is nil.
func (c *concurrentRequests) nodeOrder(nodes []*node) []*node {
	if c == nil {
		return nodes
	}
	out := slices.Clone(nodes)
	c.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// addConcurrentUsers adds users that poll a job and repeat its submission at every node at once, and
// possibly one that cancels it.
func (s *Sim) addConcurrentUsers(id string) {
	if s.concurrentRequests == nil {
		return
	}
	for i := range s.nodes {
		s.users = append(s.users, &user{id: id, remaining: pollsPerUser, nextAt: s.now, answeredAt: s.now, attempts: i},
			&user{id: id, resubmit: true, remaining: 2, nextAt: s.now, answeredAt: s.now, attempts: i})
	}
	if !isFinal(s.lastStatus[id]) && s.concurrentRequests.rnd.Float64() < s.concurrentRequests.cancel {
		s.cancelUntilFinal(id)
	}
}

// addUsersOfEndedJobs adds users that poll jobs, repeat their submission or cancel them just as their
// last task ends.
func (s *Sim) addUsersOfEndedJobs() {
	if s.concurrentRequests == nil {
		return
	}
	for _, id := range s.jobIDs() {
		if s.concurrentRequests.ended[id] || !s.env.Done(id) {
			continue
		}
		s.concurrentRequests.ended[id] = true
		s.addConcurrentUsers(id)
		if s.concurrentRequests.rnd.Float64() < s.concurrentRequests.atEnd {
			s.cancelUntilFinal(id)
		}
	}
}

// jobIDs returns the IDs of the submitted jobs in alphabetical order.
func (s *Sim) jobIDs() []string { return slices.Sorted(maps.Keys(s.env.Jobs)) }
