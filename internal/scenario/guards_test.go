package scenario

import (
	"fmt"
	"slices"
	"strings"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// What transactions have to be guarded by.

// requiredConditions are what a transaction that writes a key has to be guarded by, by the key's prefix: the
// version of what it replaces, the claim that it is written under, or both. Which interleaving would break a rule
// without one takes luck to draw.
var requiredConditions = map[string]struct{ own, claim bool }{
	"job/": {own: true}, "part/": {true, true}, "ended/": {true, true}, "leader": {own: true}, "standing/": {claim: true},
	"mail/": {claim: true}, "format": {true, true}, "placed/": {true, true},
}

// checkConditions checks that a transaction has the guards that its keys ask for.
func (s *Sim) checkConditions(t *wire.Transaction) {
	by := map[string]bool{}
	for _, g := range t.Conditions {
		by[g.Key] = true
	}
	for _, c := range t.Changes {
		key := c.Put + c.Delete
		for prefix, need := range requiredConditions {
			if strings.HasPrefix(key, job.KeyRoot+prefix) && (need.own && !by[key] || need.claim && !by[job.KeyRoot+"leader"]) {
				s.env.Broken = append(s.env.Broken, "written without its guards: "+key)
			}
		}
	}
}

// checkCommit checks what a scenario can hardly bring about: that a transaction
// which places tasks can't take effect once its sender's claim is gone, and that
// no task is placed that has a place. It tells whether any is placed.
func (s *Sim) checkCommit(t *wire.Transaction) (places bool) {
	s.checkConditions(t)
	claimed := false
	for _, g := range t.Conditions {
		if s.state.Get(g.Key).Version != g.Version {
			return false // it fails anyway
		}
		claimed = claimed || g.Key == job.KeyRoot+"leader" && g.Version != 0
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
		if places = places || added; added && !claimed {
			s.env.Broken = append(s.env.Broken, "placement without a claim in "+c.Put)
		}
	}
	return places
}

// checkRecord checks a record or a part that is written, and tells whether it places tasks.
func (s *Sim) checkRecord(c *wire.Change) bool {
	var was, is job.Record
	_ = job.DecodeRecord(s.state.Get(c.Put).Value, &was) // absent: nothing open
	if err := job.DecodeRecord(c.Value, &is); err != nil {
		s.env.Broken = append(s.env.Broken, "unreadable value for "+c.Put)
	}
	tasks := map[int]bool{}
	for _, o := range is.Open {
		if tasks[o.Task] {
			s.env.Broken = append(s.env.Broken, fmt.Sprintf("task %d placed twice in %s", o.Task, c.Put))
		}
		tasks[o.Task] = true
	}
	return len(is.Open) > len(was.Open)
}

// placementPagePrefix is where pages of shared parts are.
const placementPagePrefix = job.KeyRoot + "placed/"

// checkPlacementPage checks a page of shared parts that is written, and tells whether it places tasks: each
// job's record has to be guarded, and no task may have a place, by whichever value.
func (s *Sim) checkPlacementPage(c *wire.Change, t *wire.Transaction) (placed bool) {
	was, err := records.DecodePlacementPage(s.state.Get(c.Put).Value)
	is, wrong := records.DecodePlacementPage(c.Value)
	if wrong != nil || err != nil && s.state.Get(c.Put).Version != 0 {
		s.env.Broken = append(s.env.Broken, "unreadable value for "+c.Put)
		return false
	}
	had := map[job.AttemptKey]bool{}
	for i := range was {
		for _, o := range was[i].Open {
			had[o.AttemptKey(was[i].Job)] = true
		}
	}
	var stored *storedPlacements
	for i := range is {
		p := &is[i]
		for _, o := range p.Open {
			if had[o.AttemptKey(p.Job)] {
				continue
			}
			if stored == nil {
				stored = s.storedPlacements()
			}
			placed = true
			if !slices.ContainsFunc(t.Conditions, func(g wire.Condition) bool { return g.Key == job.RecordKey(p.Job) }) {
				s.env.Broken = append(s.env.Broken, "placed without a guard on its record: "+p.Job+" in "+c.Put)
			}
			if where := stored.locate(s, p.Job, o.Task); where != "" {
				s.env.Broken = append(s.env.Broken, fmt.Sprintf("%s/%d placed in %s and is placed in %s", p.Job, o.Task, c.Put, where))
			}
		}
	}
	return placed
}

// storedPlacements is what pages and the log of ended attempts say by all that is stored.
type storedPlacements struct {
	ended map[records.CompletionEntry]bool
	pages map[job.AttemptKey]string // by job and task: the page that has it open
}

func (s *Sim) storedPlacements() *storedPlacements {
	p := &storedPlacements{ended: map[records.CompletionEntry]bool{}, pages: map[job.AttemptKey]string{}}
	for _, it := range s.state.List(job.KeyRoot + "ended/") {
		lines, _ := records.DecodeCompletionPage(it.Value) // what can't be read shows elsewhere
		for _, l := range lines {
			p.ended[records.CompletionEntry{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine}] = true
		}
	}
	for _, it := range s.state.List(placementPagePrefix) {
		parts, _ := records.DecodePlacementPage(it.Value)
		for i := range parts {
			for _, o := range parts[i].Open {
				if p.isOpen(parts[i].Job, &o) {
					p.pages[job.AttemptKey{Job: parts[i].Job, Task: o.Task}] = it.Key
				}
			}
		}
	}
	return p
}

func (p *storedPlacements) isOpen(id string, o *job.Placement) bool {
	return !p.ended[records.CompletionEntry{Job: id, Task: o.Task, Attempt: o.Attempt, Machine: o.Machine}]
}

// locate finds the value that has a task open; "": none has.
func (p *storedPlacements) locate(s *Sim, id string, task int) string {
	if page := p.pages[job.AttemptKey{Job: id, Task: task}]; page != "" {
		return page
	}
	n := task / job.TasksPerShard
	for _, key := range []string{job.RecordKey(id), job.ShardKey(id, n), job.ShardKey(id, n+1)} {
		var rec job.Record
		if job.DecodeRecord(s.state.Get(key).Value, &rec) != nil {
			continue // absent
		}
		for i := range rec.Open {
			if rec.Open[i].Task == task && p.isOpen(id, &rec.Open[i]) {
				return key
			}
		}
	}
	return ""
}
