package records

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Shared parts. A job's tasks are stored in its record and its parts; from
// job.SharedParts on, leaders place tasks in shared parts as well: a page is one value
// that holds parts of many jobs, so that one change places tasks of all of them. What a
// page says of a job's part adds to what the record and other pages say: a task is done
// if any says so, open placements are of all, and so is what was spent. An attempt of a
// task is open in one of them at most. Once a job is over its parts in pages are void.

const placementPagePrefix = job.KeyRoot + "placed/"

// PlacementPageKey is where a page of shared parts is.
func PlacementPageKey(n uint64) string { return placementPagePrefix + strconv.FormatUint(n, 10) }

// PlacementEntry is what a page holds of a job's tasks from PartTasks*Index on.
type PlacementEntry struct {
	Job         string
	Index       int    // task number by PartTasks, whichever part of the record would hold it
	LastAttempt uint64 // highest attempt that was ever placed here: numbers rise over records and pages
	job.Shard
}

// storedPage is a page's value. Zones are named once.
type storedPage struct {
	//lint:ignore U1000 read by the encoder: a page is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Zones    []string
	Entries  []storedEntry
}

type storedEntry struct {
	//lint:ignore U1000 read by the encoder
	_msgpack    struct{} `msgpack:",as_array"`
	Job         string
	Index       int
	LastAttempt uint64
	Done        string
	Spent       *job.Usage
	Attempts    []storedAttempt
}

// storedAttempt is the open placements of one attempt that were made at one time: of a job's
// tasks that start together there is one.
type storedAttempt struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  uint64
	PlacedAt int64
	Machines []storedMachine
}

// storedMachine is a machine with the tasks that are on it.
type storedMachine struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Tasks    string   // hexadecimal bit set
	Machine  string
	Session  uint64
	Zone     int // twice its place among the page's zones, and one more on a spot machine
}

// EncodePlacementPage turns parts into the value of a page.
func EncodePlacementPage(parts []PlacementEntry) ([]byte, error) {
	page := storedPage{Zones: []string{}, Entries: make([]storedEntry, 0, len(parts))}
	zones := map[string]int{}
	for i := range parts {
		p := &parts[i]
		page.Entries = append(page.Entries, storedEntry{Job: p.Job, Index: p.Index, LastAttempt: p.LastAttempt, Done: p.DoneSet, Spent: p.Usage, Attempts: page.attempts(p.Open, zones)})
	}
	return job.Encode(&page)
}

// attempts groups open placements by attempt and time, and in each by machine.
func (page *storedPage) attempts(open []job.Placement, zones map[string]int) []storedAttempt {
	type start struct {
		attempt uint64
		at      int64
	}
	type place struct {
		machine string
		session uint64
		zone    int
	}
	out := []storedAttempt{}
	starts, places := map[start]int{}, map[start]map[place]int{}
	masks := map[start]map[place]uint64{}
	for _, o := range open {
		s := start{o.Attempt, o.PlacedAt}
		i, known := starts[s]
		if !known {
			i = len(out)
			starts[s], places[s], masks[s] = i, map[place]int{}, map[place]uint64{}
			out = append(out, storedAttempt{Attempt: o.Attempt, PlacedAt: o.PlacedAt})
		}
		z, named := zones[o.Zone]
		if !named {
			z = len(page.Zones)
			zones[o.Zone] = z
			page.Zones = append(page.Zones, o.Zone)
		}
		z *= 2
		if o.Spot {
			z++
		}
		at := place{o.Machine, o.Session, z}
		k, known := places[s][at]
		if !known {
			k = len(out[i].Machines)
			places[s][at] = k
			out[i].Machines = append(out[i].Machines, storedMachine{Machine: o.Machine, Session: o.Session, Zone: z})
		}
		masks[s][at] |= 1 << uint(o.Task%job.TasksPerShard)
		out[i].Machines[k].Tasks = strconv.FormatUint(masks[s][at], 16)
	}
	return out
}

// DecodePlacementPage reads the value of a page.
func DecodePlacementPage(value []byte) ([]PlacementEntry, error) {
	var page storedPage
	if err := job.Decode(value, &page); err != nil {
		return nil, err
	}
	out := make([]PlacementEntry, 0, len(page.Entries))
	for i := range page.Entries {
		s := &page.Entries[i]
		p := PlacementEntry{Job: s.Job, Index: s.Index, LastAttempt: s.LastAttempt, Shard: job.Shard{DoneSet: s.Done, Usage: s.Spent}}
		for _, a := range s.Attempts {
			for _, place := range a.Machines {
				if place.Zone < 0 || place.Zone/2 >= len(page.Zones) {
					return nil, fmt.Errorf("shared part of %s: no zone %d", s.Job, place.Zone)
				}
				mask, err := strconv.ParseUint(place.Tasks, 16, job.TasksPerShard)
				if err != nil {
					return nil, fmt.Errorf("shared part of %s: %w", s.Job, err)
				}
				for k := range job.TasksPerShard {
					if mask>>uint(k)&1 == 1 {
						p.Open = append(p.Open, job.Placement{Task: s.Index*job.TasksPerShard + k, Attempt: a.Attempt, Machine: place.Machine,
							Session: place.Session, Zone: page.Zones[place.Zone/2], PlacedAt: a.PlacedAt, Spot: place.Zone%2 == 1})
					}
				}
			}
		}
		out = append(out, p)
	}
	return out, nil
}

// PlacementPage is a page of shared parts, as it is stored.
type PlacementPage struct {
	Version uint64
	Entries []PlacementEntry
}

// pageEntry is a part in a page as its job knows it: the stored one, brought up to the log of ended
// attempts.
type pageEntry struct {
	page        uint64
	index       int
	lastAttempt uint64
	job.Shard
}

// PlacementPages lists the pages' numbers, oldest first.
func (b *Replica) PlacementPages() []uint64 { return slices.Sorted(maps.Keys(b.placementPages)) }

// PlacementPagesRevision is the last revision at which a page was changed; 0: there is none.
func (b *Replica) PlacementPagesRevision() uint64 { return b.placementPagesRevision }

// PlacementPageConditions returns guards that hold only if no page was changed, nor begun, since this copy was
// current: pages are numbered from 1 on, and the next is begun only once all before it exist.
func (b *Replica) PlacementPageConditions() []wire.Condition {
	var out []wire.Condition
	next := b.NextPlacementPage()
	for n := uint64(1); n <= next; n++ {
		version := uint64(0)
		if p := b.placementPages[n]; p != nil {
			version = p.Version
		}
		out = append(out, wire.Condition{Key: PlacementPageKey(n), Version: version})
	}
	return out
}

// NextPlacementPage is the number of the page that would be begun next.
func (b *Replica) NextPlacementPage() uint64 {
	next := uint64(1)
	for b.placementPages[next] != nil {
		next++
	}
	return next
}

// PlacementPage returns a page; nil: there is none.
func (b *Replica) PlacementPage(n uint64) *PlacementPage { return b.placementPages[n] }

// Compacted returns the parts of a page as they are now: with ended attempts taken in, and without
// the jobs that are over. What it leaves out or takes in means the same to every reader.
func (b *Replica) Compacted(n uint64) []PlacementEntry {
	page := b.placementPages[n]
	if page == nil {
		return nil
	}
	var out []PlacementEntry
	for i := range page.Entries {
		p := &page.Entries[i]
		j := b.jobs[p.Job]
		if j != nil && j.Archived() {
			continue
		}
		folded := *p
		if s := j.pageEntry(n, p.Index); s != nil {
			folded.Shard = s.Clone()
		}
		out = append(out, folded)
	}
	return out
}

// pageEntry finds a job's part in a page; nil: there is none. The job may be nil.
func (j *Job) pageEntry(page uint64, index int) *pageEntry {
	if j == nil {
		return nil
	}
	for _, s := range j.pageEntries {
		if s.page == page && s.index == index {
			return s
		}
	}
	return nil
}

// applyPlacementPage takes a newer value of a page.
func (b *Replica) applyPlacementPage(n uint64, ev *wire.Change) error {
	old := b.placementPages[n]
	if old != nil && old.Version >= ev.Version || ev.Put == "" { // pages are rewritten, never deleted
		return nil
	}
	parts, err := DecodePlacementPage(ev.Value)
	if err != nil {
		return fmt.Errorf("page %d: %w", n, err)
	}
	b.placementPagesRevision = max(b.placementPagesRevision, ev.Version)
	b.setPlacementPage(n, &PlacementPage{Version: ev.Version, Entries: parts})
	return nil
}

// setPlacementPage replaces a page, and with it what it says of each job.
func (b *Replica) setPlacementPage(n uint64, page *PlacementPage) {
	before := map[string]bool{}
	if old := b.placementPages[n]; old != nil {
		for i := range old.Entries {
			before[old.Entries[i].Job] = true
		}
	}
	b.placementPages[n] = page
	now := map[string][]*PlacementEntry{}
	for i := range page.Entries {
		p := &page.Entries[i]
		now[p.Job] = append(now[p.Job], p)
		before[p.Job] = true
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		b.setPageEntries(b.job(id), n, now[id])
	}
}

// setPageEntries replaces what a page says of a job.
func (b *Replica) setPageEntries(j *Job, page uint64, parts []*PlacementEntry) {
	var old []job.Placement
	oldDone, oldSpent := j.DoneTasks, j.PageUsage()
	j.forgetPage(page)
	j.pageEntries = slices.DeleteFunc(j.pageEntries, func(s *pageEntry) bool {
		if s.page == page {
			old = append(old, s.Open...)
		}
		return s.page == page
	})
	var now []job.Placement
	if !j.Archived() {
		for _, p := range parts {
			s := &pageEntry{page: page, index: p.Index, lastAttempt: p.LastAttempt, Shard: p.Clone()}
			j.pageEntries = append(j.pageEntries, s)
			j.settleCompletions(s)
			now = append(now, s.Open...)
		}
		slices.SortStableFunc(j.pageEntries, func(a, b *pageEntry) int { return cmp.Or(cmp.Compare(a.page, b.page), cmp.Compare(a.index, b.index)) })
	}
	j.raiseLastAttempt()
	j.recount()
	if slices.Equal(old, now) && j.DoneTasks == oldDone && equalUsage(oldSpent, j.PageUsage()) {
		return // rewritten for the sake of others
	}
	b.replacePlacements(j, old, now)
	b.listener.JobChanged(j)
	b.listener.PlanOutdated(j)
}

func equalUsage(a, b *job.Usage) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Time == b.Time && a.Spot == b.Spot && a.Lost == b.Lost
}

// dropPageEntries drops what pages say of a job that is over.
func (b *Replica) dropPageEntries(j *Job) {
	var old []job.Placement
	for _, s := range j.pageEntries {
		old = append(old, s.Open...)
	}
	j.pageEntries = nil
	if len(old) > 0 {
		b.replacePlacements(j, old, nil)
	}
}

// settleCompletions brings a part of a page up to the log of ended attempts.
func (j *Job) settleCompletions(s *pageEntry) {
	for _, f := range j.completions {
		if !s.close(f) && f.entry == nil && f.Done && s.saysDone(f.Task) {
			f.Merged = true
		}
	}
}

// close closes what a line says has ended, if the part has it open.
func (s *pageEntry) close(f *Completion) bool {
	if f.Task/job.TasksPerShard != s.index || !s.Close(f.Task, f.Attempt, f.Machine, f.Occupancy) {
		return false
	}
	if f.Done {
		s.SetDone(f.Task % job.TasksPerShard)
	}
	f.entry, f.Merged = s, false
	return true
}

// saysDone tells whether the part says that a task is done.
func (s *pageEntry) saysDone(task int) bool {
	return s.index == task/job.TasksPerShard && s.IsDone(task%job.TasksPerShard)
}

// forgetPage has lines that a page's old value had open be taken in by the new one, unless that
// has them open, too.
func (j *Job) forgetPage(page uint64) {
	for _, f := range j.completions {
		if f.entry != nil && f.entry.page == page {
			f.entry, f.Merged = nil, true
		}
	}
}

// raiseLastAttempt has the record in memory name the highest attempt that was ever seen: pages place
// attempts that the stored record doesn't name.
func (j *Job) raiseLastAttempt() {
	for _, s := range j.pageEntries {
		j.highestAttempt = max(j.highestAttempt, s.lastAttempt)
	}
	j.highestAttempt = max(j.highestAttempt, j.Record.LastAttempt)
	if !j.Archived() {
		j.Record.LastAttempt = j.highestAttempt
	}
}

// pagesSayDone tells whether a page says that a task is done.
func (j *Job) pagesSayDone(task int) bool {
	return slices.ContainsFunc(j.pageEntries, func(s *pageEntry) bool { return s.saysDone(task) })
}

// eachPageEntry calls f for what pages say of the tasks from PartTasks*index on.
func (j *Job) eachPageEntry(index int, f func(*pageEntry)) {
	for _, s := range j.pageEntries {
		if s.index == index {
			f(s)
		}
	}
}

// InPlacementPage tells whether the placement of a task's attempt on a machine is open in a page.
func (j *Job) InPlacementPage(task int, attempt uint64, machine string) bool {
	return slices.ContainsFunc(j.pageEntries, func(s *pageEntry) bool {
		return s.index == task/job.TasksPerShard && s.IsOpen(task, attempt, machine)
	})
}

// PageDoneSet is what pages say is done of the tasks that part n of a record holds.
func (j *Job) PageDoneSet(rec *job.Record, n int) string {
	first, _ := rec.ShardSpan(n, wire.MaxTasks)
	done := ""
	j.eachPageEntry(first/job.TasksPerShard, func(s *pageEntry) { done = job.UnionDoneSets(done, s.DoneSet) })
	return done
}

// LastPageShard is the last part of a record of whose tasks pages say anything; 0: none is.
func (j *Job) LastPageShard(rec *job.Record) int {
	last := 0
	for _, s := range j.pageEntries {
		last = max(last, rec.ShardOf(s.index*job.TasksPerShard))
	}
	return last
}

// PageOpenTasks counts the placements that are open in pages.
func (j *Job) PageOpenTasks() int {
	open := 0
	for _, s := range j.pageEntries {
		open += len(s.Open)
	}
	return open
}

// PageUsage is what has been spent by tasks in pages.
func (j *Job) PageUsage() *job.Usage {
	var sum *job.Usage
	for _, s := range j.pageEntries {
		sum = sum.Plus(s.Usage)
	}
	return sum
}

// IsOpen tells whether the placement of a task's attempt on a machine is open.
func (j *Job) IsOpen(task int, attempt uint64, machine string) bool {
	p, _ := j.Shard(j.Record.ShardOf(task))
	return p.IsOpen(task, attempt, machine) || j.InPlacementPage(task, attempt, machine)
}

// IsDone tells whether a task is done.
func (j *Job) IsDone(task int) bool {
	if p, _ := j.Shard(j.Record.ShardOf(task)); p.IsDone(task % job.TasksPerShard) {
		return true
	}
	return j.pagesSayDone(task)
}

// Placement finds the open placement of a task's attempt on a machine.
func (j *Job) Placement(task int, attempt uint64, machine string) (found job.Placement, ok bool) {
	p, _ := j.Shard(j.Record.ShardOf(task))
	if found, ok = p.Placement(task, attempt, machine); ok {
		return found, true
	}
	j.eachPageEntry(task/job.TasksPerShard, func(s *pageEntry) {
		if !ok {
			found, ok = s.Placement(task, attempt, machine)
		}
	})
	return found, ok
}

// CombinedShard returns part n of the record with what pages say of the same tasks: done tasks and open
// placements. It is to be read only.
func (j *Job) CombinedShard(n int) *job.Shard {
	p, _ := j.Shard(n)
	if len(j.pageEntries) == 0 {
		return p
	}
	first, _ := j.Record.ShardSpan(n, wire.MaxTasks)
	whole := *p
	j.eachPageEntry(first/job.TasksPerShard, func(s *pageEntry) {
		whole.DoneSet = job.UnionDoneSets(whole.DoneSet, s.DoneSet)
		whole.Open = append(slices.Clip(whole.Open), s.Open...)
	})
	return &whole
}
