package leader

import "testing"

// A model of one job of one task, two pages of shared parts, two leaders and a node that may settle a
// cancellation alone, with transactions that are sent twice and carried out at any later time. All states
// that can be reached are explored. What it leaves out: proofs that a task is over, and workers.

const (
	modelPages   = 2
	modelLeaders = 2
	modelClaims  = 2 // versions of the claim
	modelWrites  = 2 // versions of a page, and of the record
)

// modelTxn is a transaction on its way: the versions that it is guarded by.
type modelTxn struct {
	out    bool
	claim  int8
	page   int8 // which it writes; -1: it settles the cancellation
	pages  [modelPages]int8
	record int8
}

// modelCopy is what a node knows.
type modelCopy struct {
	record int8
	cancel bool
	pages  [modelPages]int8
	open   [modelPages]bool
}

type modelLeader struct {
	claim int8 // that it believes to hold; 0: none
	modelCopy
	waits bool // for the answer to a transaction
	txn   modelTxn
}

// modelState is everything; states are compared.
type modelState struct {
	claim, claims int8 // the one in force, 0: none; how many there were
	modelCopy
	settled bool
	leaders [modelLeaders]modelLeader
	front   modelCopy
	late    [2]modelTxn // copies that may still be carried out
}

// modelGuards are what transactions are guarded by; a model without one shows what it is for.
type modelGuards struct{ claim, page, record, settle, reread bool }

var allModelGuards = modelGuards{true, true, true, true, true}

// sent puts a copy of a transaction on its way; false: there are too many.
func (s *modelState) sent(t modelTxn) bool {
	for i := range s.late {
		if !s.late[i].out {
			s.late[i] = t
			s.late[i].out = true
			return true
		}
	}
	return false
}

// holds tells whether a transaction's guards hold.
func (s *modelState) holds(t *modelTxn, g modelGuards) bool {
	switch {
	case g.record && t.record != s.record:
		return false
	case t.page < 0:
		return !g.settle || t.pages == s.pages
	case g.claim && t.claim != s.claim:
		return false
	}
	return !g.page || t.pages[t.page] == s.pages[t.page]
}

// apply carries a transaction out if its guards hold. It returns what goes wrong by that; "": nothing.
func (s *modelState) apply(t *modelTxn, g modelGuards) (done bool, wrong string) {
	if !s.holds(t, g) {
		return false, ""
	}
	open := s.open[0] || s.open[1]
	if t.page < 0 {
		s.settled, s.cancel = true, true
		s.record++
		if open {
			return true, "settled alone while it has a place"
		}
		return true, ""
	}
	s.pages[t.page]++
	s.open[t.page] = true
	switch {
	case s.settled:
		return true, "placed after it was settled as cancelled"
	case open:
		return true, "placed while it has a place"
	}
	return true, ""
}

// next lists what may happen in a state.
func (s *modelState) next(g modelGuards) (out []modelState, wrong []string) {
	add := func(change func(n *modelState) (bool, string)) {
		n := *s
		if ok, why := change(&n); ok {
			out, wrong = append(out, n), append(wrong, why)
		}
	}
	add(func(n *modelState) (bool, string) { n.claim = 0; return s.claim != 0, "" }) // its lease ends
	add(func(n *modelState) (bool, string) { n.front = n.modelCopy; return true, "" })
	add(func(n *modelState) (bool, string) { // a mark by any node
		n.cancel = true
		n.record++
		return !s.cancel && s.record < modelWrites, ""
	})
	add(func(n *modelState) (bool, string) { // the front settles alone, by what it knows
		free := !s.front.cancel && !s.front.open[0] && !s.front.open[1]
		return free && n.sent(modelTxn{page: -1, pages: s.front.pages, record: s.front.record}), ""
	})
	for i := range s.late { // a copy is carried out, or never is
		add(func(n *modelState) (bool, string) {
			n.late[i] = modelTxn{}
			_, why := n.apply(&s.late[i], g)
			return s.late[i].out, why
		})
		add(func(n *modelState) (bool, string) { n.late[i] = modelTxn{}; return s.late[i].out, "" })
	}
	for i := range s.leaders {
		s.lead(i, g, add)
	}
	return out, wrong
}

// lead adds what a leader may do.
func (s *modelState) lead(i int, g modelGuards, add func(func(*modelState) (bool, string))) {
	l := &s.leaders[i]
	add(func(n *modelState) (bool, string) { // it claims, and reads everything after that
		if s.claim != 0 || s.claims == modelClaims {
			return false, ""
		}
		n.claims++
		n.claim = n.claims
		n.leaders[i] = modelLeader{claim: n.claim, modelCopy: n.modelCopy}
		return true, ""
	})
	if l.claim == 0 {
		return
	}
	add(func(n *modelState) (bool, string) { n.leaders[i].modelCopy = n.modelCopy; return !l.waits, "" }) // its watch
	for page := range int8(modelPages) {
		add(func(n *modelState) (bool, string) { // it places the job; a copy stays on its way
			if l.waits || l.cancel || l.open[0] || l.open[1] || l.pages[page] == modelWrites {
				return false, ""
			}
			t := modelTxn{claim: l.claim, page: page, pages: l.pages, record: l.record}
			n.leaders[i].waits, n.leaders[i].txn = true, t
			return n.sent(t), ""
		})
	}
	if !l.waits {
		return
	}
	add(func(n *modelState) (bool, string) { return n.sent(l.txn), "" }) // no answer: the same again
	add(func(n *modelState) (bool, string) {                             // a sending is carried out and answered
		done, why := n.apply(&l.txn, g)
		n.leaders[i].waits = false
		if done || g.reread { // what was refused may be an earlier sending that was carried out
			n.leaders[i].modelCopy = n.modelCopy
		}
		return true, why
	})
}

// explore returns how many states there are, and the first thing that goes wrong in one.
func explore(g modelGuards) (states int, wrong string) {
	first := modelState{}
	first.record = 1
	first.front = first.modelCopy
	seen := map[modelState]bool{first: true}
	for todo := []modelState{first}; len(todo) > 0; {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		states, whys := s.next(g)
		for i := range states {
			if whys[i] != "" {
				return len(seen), whys[i]
			}
			if !seen[states[i]] {
				seen[states[i]] = true
				todo = append(todo, states[i])
			}
		}
	}
	return len(seen), ""
}

// No task is placed twice, none after its job was settled as cancelled, and none is settled alone that has a place;
// and each guard is needed for that.
func TestPlacingModel(t *testing.T) {
	states, wrong := explore(allModelGuards)
	if wrong != "" {
		t.Errorf("after %d states: %s", states, wrong)
	}
	t.Logf("%d states", states)
	for name, drop := range map[string]func(*modelGuards){
		"claim":  func(g *modelGuards) { g.claim = false },
		"page":   func(g *modelGuards) { g.page = false },
		"record": func(g *modelGuards) { g.record = false },
		"settle": func(g *modelGuards) { g.settle = false },
		"reread": func(g *modelGuards) { g.reread = false },
	} {
		g := allModelGuards
		drop(&g)
		states, wrong := explore(g)
		if wrong == "" {
			t.Errorf("without the guard on %s nothing goes wrong in %d states", name, states)
		}
		t.Logf("without the guard on %s: %s", name, wrong)
	}
}
