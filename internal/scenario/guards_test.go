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

// guards are what a transaction that writes a key has to be guarded by, by the key's prefix: the
// version of what it replaces, the claim that it is written under, or both. Which interleaving would break a rule
// without one takes luck to draw.
var guards = map[string]struct{ own, claim bool }{
	"job/": {own: true}, "part/": {true, true}, "ended/": {true, true}, "leader": {own: true}, "standing/": {claim: true},
	"mail/": {claim: true}, "format": {true, true}, "placed/": {true, true},
}

// allGuarded checks that a transaction has the guards that its keys ask for.
func (s *Sim) allGuarded(t *wire.Transaction) {
	by := map[string]bool{}
	for _, g := range t.Conditions {
		by[g.Key] = true
	}
	for _, c := range t.Changes {
		key := c.Put + c.Delete
		for prefix, need := range guards {
			if strings.HasPrefix(key, job.KeyRoot+prefix) && (need.own && !by[key] || need.claim && !by[job.KeyRoot+"leader"]) {
				s.world.Broken = append(s.world.Broken, "written without its guards: "+key)
			}
		}
	}
}

// guarded checks what a scenario can hardly bring about: that a transaction
// which places tasks can't take effect once its sender's claim is gone, and that
// no task is placed that has a place. It tells whether any is placed.
func (s *Sim) guarded(t *wire.Transaction) (places bool) {
	s.allGuarded(t)
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
			added = s.placesInRecord(c)
		case strings.HasPrefix(c.Put, sharedPrefix):
			added = s.placesInPage(c, t)
		}
		if places = places || added; added && !claimed {
			s.world.Broken = append(s.world.Broken, "placement without a claim in "+c.Put)
		}
	}
	return places
}

// placesInRecord checks a record or a part that is written, and tells whether it places tasks.
func (s *Sim) placesInRecord(c *wire.Change) bool {
	var was, is job.Record
	_ = job.DecodeRecord(s.state.Get(c.Put).Value, &was) // absent: nothing open
	if err := job.DecodeRecord(c.Value, &is); err != nil {
		s.world.Broken = append(s.world.Broken, "unreadable value for "+c.Put)
	}
	tasks := map[int]bool{}
	for _, o := range is.Open {
		if tasks[o.Task] {
			s.world.Broken = append(s.world.Broken, fmt.Sprintf("task %d placed twice in %s", o.Task, c.Put))
		}
		tasks[o.Task] = true
	}
	return len(is.Open) > len(was.Open)
}

// sharedPrefix is where pages of shared parts are.
const sharedPrefix = job.KeyRoot + "placed/"

// placesInPage checks a page of shared parts that is written, and tells whether it places tasks: each
// job's record has to be guarded, and no task may have a place, by whichever value.
func (s *Sim) placesInPage(c *wire.Change, t *wire.Transaction) (placed bool) {
	was, err := records.DecodePlacementPage(s.state.Get(c.Put).Value)
	is, wrong := records.DecodePlacementPage(c.Value)
	if wrong != nil || err != nil && s.state.Get(c.Put).Version != 0 {
		s.world.Broken = append(s.world.Broken, "unreadable value for "+c.Put)
		return false
	}
	had := map[job.AttemptKey]bool{}
	for i := range was {
		for _, o := range was[i].Open {
			had[o.AttemptKey(was[i].Job)] = true
		}
	}
	var stored *places
	for i := range is {
		p := &is[i]
		for _, o := range p.Open {
			if had[o.AttemptKey(p.Job)] {
				continue
			}
			if stored == nil {
				stored = s.places()
			}
			placed = true
			if !slices.ContainsFunc(t.Conditions, func(g wire.Condition) bool { return g.Key == job.RecordKey(p.Job) }) {
				s.world.Broken = append(s.world.Broken, "placed without a guard on its record: "+p.Job+" in "+c.Put)
			}
			if where := stored.of(s, p.Job, o.Task); where != "" {
				s.world.Broken = append(s.world.Broken, fmt.Sprintf("%s/%d placed in %s and is placed in %s", p.Job, o.Task, c.Put, where))
			}
		}
	}
	return placed
}

// places is what pages and the log of ended attempts say by all that is stored.
type places struct {
	ended map[records.CompletionEntry]bool
	pages map[job.AttemptKey]string // by job and task: the page that has it open
}

func (s *Sim) places() *places {
	p := &places{ended: map[records.CompletionEntry]bool{}, pages: map[job.AttemptKey]string{}}
	for _, it := range s.state.List(job.KeyRoot + "ended/") {
		lines, _ := records.DecodeCompletionPage(it.Value) // what can't be read shows elsewhere
		for _, l := range lines {
			p.ended[records.CompletionEntry{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine}] = true
		}
	}
	for _, it := range s.state.List(sharedPrefix) {
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

func (p *places) isOpen(id string, o *job.Placement) bool {
	return !p.ended[records.CompletionEntry{Job: id, Task: o.Task, Attempt: o.Attempt, Machine: o.Machine}]
}

// of finds the value that has a task open; "": none has.
func (p *places) of(s *Sim, id string, task int) string {
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
