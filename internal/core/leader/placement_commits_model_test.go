package leader

import "testing"

// A model of the commit protocol: one job with one task, two placement pages, two leaders, and a frontend that may
// cancel the job without a leader. Transactions may be sent twice and applied at any later time. The test explores all
// reachable states. The model does not cover workers and proofs that a task has ended.

const (
	modelPages   = 2
	modelLeaders = 2
	modelTerms   = 2 // highest version of the leader key
	modelWrites  = 2 // version from which on a page gets no placement and the record no cancellation request
)

// modelTransaction is a transaction in flight with the versions that its conditions require.
type modelTransaction struct {
	inFlight bool
	term     int8
	page     int8 // page that it writes, -1 if it cancels the job
	pages    [modelPages]int8
	record   int8
}

// modelRecords are the stored values, or a node's replica of them.
type modelRecords struct {
	record          int8
	cancelRequested bool
	pages           [modelPages]int8
	open            [modelPages]bool
}

type modelLeader struct {
	term int8 // term in which the node assumes it is the leader, 0 if in none
	modelRecords
	waiting     bool // for the response to transaction
	transaction modelTransaction
}

// modelState is a state of the whole system. It must be comparable.
type modelState struct {
	term, terms int8 // current term, 0 without a leader; number of terms so far
	modelRecords
	cancelled     bool
	leaders       [modelLeaders]modelLeader
	frontend      modelRecords
	delayedCopies [2]modelTransaction // copies that may still be applied
}

// modelConditions selects the conditions of transactions and the reread after a conflict. Exploring the model with one
// of them disabled shows which failure it prevents.
type modelConditions struct{ term, page, record, cancellation, reread bool }

var allModelConditions = modelConditions{true, true, true, true, true}

// send puts a copy of a transaction in flight. It returns false if there are too many copies.
func (s *modelState) send(t modelTransaction) bool {
	for i := range s.delayedCopies {
		if !s.delayedCopies[i].inFlight {
			s.delayedCopies[i] = t
			s.delayedCopies[i].inFlight = true
			return true
		}
	}
	return false
}

// conditionsHold evaluates the conditions of a transaction that are enabled in c.
func (s *modelState) conditionsHold(t *modelTransaction, c modelConditions) bool {
	switch {
	case c.record && t.record != s.record:
		return false
	case t.page < 0:
		return !c.cancellation || t.pages == s.pages
	case c.term && t.term != s.term:
		return false
	}
	return !c.page || t.pages[t.page] == s.pages[t.page]
}

// apply applies a transaction if its conditions hold. It returns the violation that this causes, or "" if none.
func (s *modelState) apply(t *modelTransaction, c modelConditions) (applied bool, violation string) {
	if !s.conditionsHold(t, c) {
		return false, ""
	}
	open := s.open[0] || s.open[1]
	if t.page < 0 {
		s.cancelled, s.cancelRequested = true, true
		s.record++
		if open {
			return true, "job cancelled by the frontend while it has a placement"
		}
		return true, ""
	}
	s.pages[t.page]++
	s.open[t.page] = true
	switch {
	case s.cancelled:
		return true, "job placed after its cancellation"
	case open:
		return true, "job placed while it has a placement"
	}
	return true, ""
}

// successors returns the states that can follow s, and for each of them the violation that the step causes.
func (s *modelState) successors(c modelConditions) (states []modelState, violations []string) {
	add := func(change func(n *modelState) (bool, string)) {
		n := *s
		if possible, violation := change(&n); possible {
			states, violations = append(states, n), append(violations, violation)
		}
	}
	add(func(n *modelState) (bool, string) { n.term = 0; return s.term != 0, "" }) // the leader's lease expires
	// The frontend's replica is updated.
	add(func(n *modelState) (bool, string) { n.frontend = n.modelRecords; return true, "" })
	add(func(n *modelState) (bool, string) { // any node requests the cancellation in the record
		n.cancelRequested = true
		n.record++
		return !s.cancelRequested && s.record < modelWrites, ""
	})
	add(func(n *modelState) (bool, string) { // the frontend cancels the job without a leader, according to its replica
		unplaced := !s.frontend.cancelRequested && !s.frontend.open[0] && !s.frontend.open[1]
		return unplaced && n.send(modelTransaction{page: -1, pages: s.frontend.pages, record: s.frontend.record}), ""
	})
	for i := range s.delayedCopies { // a copy is applied or lost
		add(func(n *modelState) (bool, string) {
			n.delayedCopies[i] = modelTransaction{}
			_, violation := n.apply(&s.delayedCopies[i], c)
			return s.delayedCopies[i].inFlight, violation
		})
		add(func(n *modelState) (bool, string) {
			n.delayedCopies[i] = modelTransaction{}
			return s.delayedCopies[i].inFlight, ""
		})
	}
	for i := range s.leaders {
		s.addLeaderSteps(i, c, add)
	}
	return states, violations
}

// addLeaderSteps adds the possible steps of a leader.
func (s *modelState) addLeaderSteps(i int, c modelConditions, add func(func(*modelState) (bool, string))) {
	l := &s.leaders[i]
	add(func(n *modelState) (bool, string) { // it is elected and reads all records afterwards
		if s.term != 0 || s.terms == modelTerms {
			return false, ""
		}
		n.terms++
		n.term = n.terms
		n.leaders[i] = modelLeader{term: n.term, modelRecords: n.modelRecords}
		return true, ""
	})
	if l.term == 0 {
		return
	}
	// The leader's replica is updated by its watch.
	add(func(n *modelState) (bool, string) { n.leaders[i].modelRecords = n.modelRecords; return !l.waiting, "" })
	for page := range int8(modelPages) {
		add(func(n *modelState) (bool, string) { // it places the job; a copy of the transaction remains in flight
			if l.waiting || l.cancelRequested || l.open[0] || l.open[1] || l.pages[page] == modelWrites {
				return false, ""
			}
			t := modelTransaction{term: l.term, page: page, pages: l.pages, record: l.record}
			n.leaders[i].waiting, n.leaders[i].transaction = true, t
			return n.send(t), ""
		})
	}
	if !l.waiting {
		return
	}
	// Without a response the transaction is resent.
	add(func(n *modelState) (bool, string) { return n.send(l.transaction), "" })
	add(func(n *modelState) (bool, string) { // a send is evaluated and its response arrives
		applied, violation := n.apply(&l.transaction, c)
		n.leaders[i].waiting = false
		if applied || c.reread { // after a conflict: an earlier send may have been applied
			n.leaders[i].modelRecords = n.modelRecords
		}
		return true, violation
	})
}

// explore visits the reachable states. It returns the number of states visited, and the first violation found or "".
func explore(c modelConditions) (states int, violation string) {
	first := modelState{}
	first.record = 1
	first.frontend = first.modelRecords
	seen := map[modelState]bool{first: true}
	for todo := []modelState{first}; len(todo) > 0; {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		following, violations := s.successors(c)
		for i := range following {
			if violations[i] != "" {
				return len(seen), violations[i]
			}
			if !seen[following[i]] {
				seen[following[i]] = true
				todo = append(todo, following[i])
			}
		}
	}
	return len(seen), ""
}

// No task is placed twice or after the cancellation of its job, and no job with a placement is cancelled without a
// leader. Each of the conditions is required: without it, the model reaches a violation.
func TestPlacementCommitsModel(t *testing.T) {
	states, violation := explore(allModelConditions)
	if violation != "" {
		t.Errorf("violation after %d states: %s", states, violation)
	}
	t.Logf("%d states", states)
	for name, drop := range map[string]func(*modelConditions){
		"term":         func(c *modelConditions) { c.term = false },
		"page":         func(c *modelConditions) { c.page = false },
		"record":       func(c *modelConditions) { c.record = false },
		"cancellation": func(c *modelConditions) { c.cancellation = false },
		"reread":       func(c *modelConditions) { c.reread = false },
	} {
		c := allModelConditions
		drop(&c)
		states, violation := explore(c)
		if violation == "" {
			t.Errorf("without the condition on %s: expected a violation, found none in %d states", name, states)
		}
		t.Logf("without the condition on %s: %s", name, violation)
	}
}
