package leader

import "testing"

// A model of one job of one task, two placement pages, two leaders and a frontend that may cancel the job without a
// leader, with transactions that are sent twice and applied at any later time. All states
// that can be reached are explored. What it leaves out: proofs that a task is over, and workers.

const (
	modelPages   = 2
	modelLeaders = 2
	modelTerms   = 2 // versions of the leader key
	modelWrites  = 2 // versions of a page, and of the record
)

// modelTransaction is a transaction in flight, with the versions that are its conditions.
type modelTransaction struct {
	inFlight bool
	term     int8
	page     int8 // that it writes; -1: it cancels the job
	pages    [modelPages]int8
	record   int8
}

// modelRecords is what is stored, or what a node's replica holds of it.
type modelRecords struct {
	record          int8
	cancelRequested bool
	pages           [modelPages]int8
	open            [modelPages]bool
}

type modelLeader struct {
	term int8 // in which it believes to lead; 0: none
	modelRecords
	waiting     bool // for the answer to transaction
	transaction modelTransaction
}

// modelState is a state of the whole system; states are compared.
type modelState struct {
	term, terms int8 // the current one, 0: no leader; how many there were
	modelRecords
	cancelled bool
	leaders   [modelLeaders]modelLeader
	frontend  modelRecords
	late      [2]modelTransaction // copies that may still be applied
}

// modelConditions are the conditions of transactions, and the reread after a conflict; a model without one of them
// shows what it is for.
type modelConditions struct{ term, page, record, cancellation, reread bool }

var allModelConditions = modelConditions{true, true, true, true, true}

// send puts a copy of a transaction in flight; false: there are too many.
func (s *modelState) send(t modelTransaction) bool {
	for i := range s.late {
		if !s.late[i].inFlight {
			s.late[i] = t
			s.late[i].inFlight = true
			return true
		}
	}
	return false
}

// holds reports whether a transaction's conditions hold.
func (s *modelState) holds(t *modelTransaction, c modelConditions) bool {
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

// apply applies a transaction if its conditions hold. It returns the violation that this causes; "": none.
func (s *modelState) apply(t *modelTransaction, c modelConditions) (applied bool, violation string) {
	if !s.holds(t, c) {
		return false, ""
	}
	open := s.open[0] || s.open[1]
	if t.page < 0 {
		s.cancelled, s.cancelRequested = true, true
		s.record++
		if open {
			return true, "cancelled by the frontend while it has a placement"
		}
		return true, ""
	}
	s.pages[t.page]++
	s.open[t.page] = true
	switch {
	case s.cancelled:
		return true, "placed after it was cancelled"
	case open:
		return true, "placed while it has a placement"
	}
	return true, ""
}

// next lists the states that may follow a state, each with the violation that the step causes.
func (s *modelState) next(c modelConditions) (states []modelState, violations []string) {
	add := func(change func(n *modelState) (bool, string)) {
		n := *s
		if possible, violation := change(&n); possible {
			states, violations = append(states, n), append(violations, violation)
		}
	}
	add(func(n *modelState) (bool, string) { n.term = 0; return s.term != 0, "" }) // the leader's lease ends
	add(func(n *modelState) (bool, string) { n.frontend = n.modelRecords; return true, "" })
	add(func(n *modelState) (bool, string) { // any node requests the cancellation in the record
		n.cancelRequested = true
		n.record++
		return !s.cancelRequested && s.record < modelWrites, ""
	})
	add(func(n *modelState) (bool, string) { // the frontend cancels the job without a leader, by its replica
		unplaced := !s.frontend.cancelRequested && !s.frontend.open[0] && !s.frontend.open[1]
		return unplaced && n.send(modelTransaction{page: -1, pages: s.frontend.pages, record: s.frontend.record}), ""
	})
	for i := range s.late { // a copy is applied, or never is
		add(func(n *modelState) (bool, string) {
			n.late[i] = modelTransaction{}
			_, violation := n.apply(&s.late[i], c)
			return s.late[i].inFlight, violation
		})
		add(func(n *modelState) (bool, string) { n.late[i] = modelTransaction{}; return s.late[i].inFlight, "" })
	}
	for i := range s.leaders {
		s.addLeaderSteps(i, c, add)
	}
	return states, violations
}

// addLeaderSteps adds what a leader may do.
func (s *modelState) addLeaderSteps(i int, c modelConditions, add func(func(*modelState) (bool, string))) {
	l := &s.leaders[i]
	add(func(n *modelState) (bool, string) { // it is elected, and reads everything after that
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
	add(func(n *modelState) (bool, string) { n.leaders[i].modelRecords = n.modelRecords; return !l.waiting, "" }) // its watch
	for page := range int8(modelPages) {
		add(func(n *modelState) (bool, string) { // it places the job; a copy stays in flight
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
	add(func(n *modelState) (bool, string) { return n.send(l.transaction), "" }) // no answer: it is resent
	add(func(n *modelState) (bool, string) {                                     // a sending is applied and answered
		applied, violation := n.apply(&l.transaction, c)
		n.leaders[i].waiting = false
		if applied || c.reread { // after a conflict: an earlier sending may have been applied
			n.leaders[i].modelRecords = n.modelRecords
		}
		return true, violation
	})
}

// explore returns how many states can be reached, and the first violation that was found.
func explore(c modelConditions) (states int, violation string) {
	first := modelState{}
	first.record = 1
	first.frontend = first.modelRecords
	seen := map[modelState]bool{first: true}
	for todo := []modelState{first}; len(todo) > 0; {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		following, violations := s.next(c)
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

// No task is placed twice, none after its job was cancelled, and no job is cancelled without a leader that has a
// placement; and each condition is needed for that.
func TestPlacementCommitsModel(t *testing.T) {
	states, violation := explore(allModelConditions)
	if violation != "" {
		t.Errorf("after %d states: %s", states, violation)
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
			t.Errorf("without the condition on %s nothing goes wrong in %d states", name, states)
		}
		t.Logf("without the condition on %s: %s", name, violation)
	}
}
