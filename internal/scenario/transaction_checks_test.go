package scenario

import (
	"fmt"
	"slices"
	"strings"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Checks of the conditions and placements of transactions.

// requiredCondition is what a transaction that writes a key has to be conditional on: the version of the
// value that it replaces, the leader key of its sender, or both.
type requiredCondition struct{ version, leader bool }

// requiredConditions are the required conditions by the prefix of the key. They are checked directly
// since an interleaving in which a missing condition violates another invariant is found only by chance.
var requiredConditions = map[string]requiredCondition{
	"job/":      {version: true},
	"part/":     {version: true, leader: true},
	"ended/":    {version: true, leader: true},
	"leader":    {version: true},
	"standing/": {leader: true},
	"mail/":     {leader: true},
	"format":    {version: true, leader: true},
	"placed/":   {version: true, leader: true},
	"catalog":   {version: true},
}

// checkConditions checks that a transaction has the conditions that its keys require.
func (s *Sim) checkConditions(t *wire.Transaction) {
	conditions := map[string]bool{}
	for _, g := range t.Conditions {
		conditions[g.Key] = true
	}
	for _, c := range t.Changes {
		key := c.Put + c.Delete
		for prefix, required := range requiredConditions {
			if !strings.HasPrefix(key, job.KeyRoot+prefix) {
				continue
			}
			noVersion := required.version && !conditions[key]
			noLeader := required.leader && !conditions[job.KeyRoot+"leader"]
			if noVersion || noLeader {
				s.env.Violations = append(s.env.Violations, "written without the required conditions: "+key)
			}
		}
	}
}

// checkCommit checks rules whose violation a scenario is unlikely to reveal: a transaction that places
// tasks is conditional on its sender's leadership, and no task is placed that has a placement already.
// It reports whether the transaction places tasks.
func (s *Sim) checkCommit(t *wire.Transaction) (placesTasks bool) {
	s.checkConditions(t)
	byLeader := false
	for _, g := range t.Conditions {
		if s.state.Get(g.Key).Version != g.Version {
			return false // the transaction fails
		}
		byLeader = byLeader || g.Key == job.KeyRoot+"leader" && g.Version != 0
	}
	for i := range t.Changes {
		c := &t.Changes[i]
		added := false
		switch _, _, isJob := job.ParseKey(c.Put); {
		case isJob:
			added = s.checkRecord(c)
		case strings.HasPrefix(c.Put, placementPagePrefix):
			added = s.checkPlacementPage(c, t)
		}
		placesTasks = placesTasks || added
		if added && !byLeader {
			s.env.Violations = append(s.env.Violations, "placement not conditional on leadership in "+c.Put)
		}
	}
	return placesTasks
}

// checkRecord checks a job record or shard that is written, and reports whether it places tasks.
func (s *Sim) checkRecord(c *wire.Change) bool {
	var before, after job.Record
	_ = job.DecodeRecord(s.state.Get(c.Put).Value, &before) // no placements if it doesn't exist
	if err := job.DecodeRecord(c.Value, &after); err != nil {
		s.env.Violations = append(s.env.Violations, "unreadable value for "+c.Put)
	}
	tasks := map[int]bool{}
	for _, o := range after.Open {
		if tasks[o.Task] {
			s.env.Violations = append(s.env.Violations, fmt.Sprintf("task %d placed twice in %s", o.Task, c.Put))
		}
		tasks[o.Task] = true
	}
	return len(after.Open) > len(before.Open)
}

// placementPagePrefix is the prefix of the keys of placement pages.
const placementPagePrefix = job.KeyRoot + "placed/"

// checkPlacementPage checks a placement page that is written, and reports whether it places tasks. The
// transaction has to be conditional on the record of each job of which it places tasks, and none of these
// tasks may have a placement already in any stored value.
func (s *Sim) checkPlacementPage(c *wire.Change, t *wire.Transaction) (placesTasks bool) {
	before, err := records.DecodePlacementPage(s.state.Get(c.Put).Value)
	after, afterErr := records.DecodePlacementPage(c.Value)
	if afterErr != nil || err != nil && s.state.Get(c.Put).Version != 0 {
		s.env.Violations = append(s.env.Violations, "unreadable value for "+c.Put)
		return false
	}
	known := map[job.AttemptKey]bool{}
	for i := range before {
		for _, p := range before[i].Open {
			known[p.AttemptKey(before[i].Job)] = true
		}
	}
	var stored *storedPlacements
	for i := range after {
		entry := &after[i]
		for _, p := range entry.Open {
			if known[p.AttemptKey(entry.Job)] {
				continue
			}
			if stored == nil {
				stored = s.storedPlacements()
			}
			placesTasks = true
			s.checkNewPlacement(stored, entry.Job, p.Task, c.Put, t)
		}
	}
	return placesTasks
}

// checkNewPlacement checks the placement of a task that a transaction adds to a page.
func (s *Sim) checkNewPlacement(stored *storedPlacements, id string, task int, page string, t *wire.Transaction) {
	if !slices.ContainsFunc(t.Conditions, func(c wire.Condition) bool { return c.Key == job.RecordKey(id) }) {
		s.env.Violations = append(s.env.Violations, "placed without a condition on its record: "+id+" in "+page)
	}
	if where := stored.locate(s, id, task); where != "" {
		s.env.Violations = append(s.env.Violations, fmt.Sprintf("%s/%d placed in %s, but already placed in %s",
			id, task, page, where))
	}
}

// storedPlacements is the content of the stored placement pages and completion log.
type storedPlacements struct {
	ended map[records.CompletionEntry]bool
	pages map[job.AttemptKey]string // key of the page with the open placement, by job and task
}

// storedPlacements reads the stored placement pages and completion log.
func (s *Sim) storedPlacements() *storedPlacements {
	p := &storedPlacements{ended: map[records.CompletionEntry]bool{}, pages: map[job.AttemptKey]string{}}
	for _, it := range s.state.List(job.KeyRoot + "ended/") {
		entries, _ := records.DecodeCompletionPage(it.Value) // unreadable pages are reported elsewhere
		for _, l := range entries {
			p.ended[records.CompletionEntry{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine}] = true
		}
	}
	for _, it := range s.state.List(placementPagePrefix) {
		entries, _ := records.DecodePlacementPage(it.Value)
		for i := range entries {
			for _, o := range entries[i].Open {
				if p.isOpen(entries[i].Job, &o) {
					p.pages[job.AttemptKey{Job: entries[i].Job, Task: o.Task}] = it.Key
				}
			}
		}
	}
	return p
}

// isOpen reports whether a placement has no completion entry.
func (p *storedPlacements) isOpen(id string, o *job.Placement) bool {
	return !p.ended[records.CompletionEntry{Job: id, Task: o.Task, Attempt: o.Attempt, Machine: o.Machine}]
}

// locate returns the key of the value with an open placement of a task, "" if there is none.
func (p *storedPlacements) locate(s *Sim, id string, task int) string {
	if page := p.pages[job.AttemptKey{Job: id, Task: task}]; page != "" {
		return page
	}
	n := task / job.TasksPerShard
	for _, key := range []string{job.RecordKey(id), job.ShardKey(id, n), job.ShardKey(id, n+1)} {
		var rec job.Record
		if job.DecodeRecord(s.state.Get(key).Value, &rec) != nil {
			continue // no such record or shard
		}
		for i := range rec.Open {
			if rec.Open[i].Task == task && p.isOpen(id, &rec.Open[i]) {
				return key
			}
		}
	}
	return ""
}
