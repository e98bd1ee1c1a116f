// Package job holds a job's record, the only truth about the job, and the
// transitions that a record may go through.
package job

import (
	"fmt"
	"math/bits"
	"slices"
	"sort"
	"strconv"
	"strings"

	"coralhub/wire"
)

// PartTasks is how many tasks share one value of the state service: the open
// placements of this many tasks fit into 2 KiB with names of usual length.
const PartTasks = 32

// Phases of a record; Active is every phase that is not final.
const (
	Active    = ""
	Done      = "done"
	Cancelled = "cancelled"
)

// Placement says that a task may be on a machine. It stays open until there
// is proof that the task is not there any more.
type Placement struct {
	//lint:ignore U1000 read by the encoder: a placement is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Attempt  uint64
	Machine  string
	Session  uint64
	Zone     string
	At       int64 `msgpack:"-"` // when it was made, see TimeOf; stored by groups from Standing on
	Cheap    bool  `msgpack:"-"` // on a spot machine
}

// Key names an attempt of a task.
type Key struct {
	Job     string
	Task    int
	Attempt uint64
}

// Key names the attempt that p places.
func (p Placement) Key(job string) Key { return Key{job, p.Task, p.Attempt} }

// Part holds the state of PartTasks tasks. Part 0 is kept inside the record,
// the others have keys of their own. Of Open, Groups and Timed, a value has one; in memory it is always Open.
type Part struct {
	Done   string      `msgpack:"d,omitempty"` // hexadecimal bit set
	Open   []Placement `msgpack:"o,omitempty"`
	Groups []group     `msgpack:"g,omitempty"`
	Timed  []timed     `msgpack:"h,omitempty"` // from Standing on, in the place of groups
	Spent  *Spent      `msgpack:"u,omitempty"` // never changed, only replaced
}

// IsDone tells whether the i-th task of the part is done.
func (p *Part) IsDone(i int) bool { return p.mask()>>uint(i)&1 == 1 }

// SetDone marks the i-th task of the part as done.
func (p *Part) SetDone(i int) { p.Done = strconv.FormatUint(p.mask()|1<<uint(i), 16) }

// Count tells how many tasks of the part are done.
func (p *Part) Count() int { return bits.OnesCount64(p.mask()) }

// Missing lists which of the first n tasks of the part are neither done nor
// placed.
func (p *Part) Missing(n int) []int {
	taken := p.mask()
	for _, o := range p.Open {
		taken |= 1 << uint(o.Task%PartTasks)
	}
	if bits.OnesCount64(taken) == n {
		return nil
	}
	var out []int
	for i := range n {
		if taken>>uint(i)&1 == 0 {
			out = append(out, i)
		}
	}
	return out
}

func (p *Part) mask() uint64 { return maskOf(p.Done) }

// maskOf reads a bit set of done tasks.
func maskOf(done string) uint64 {
	if done == "" {
		return 0
	}
	m, _ := strconv.ParseUint(done, 16, 64)
	return m
}

// UnionDone is the bit set of the tasks that are done by either of two.
func UnionDone(a, b string) string {
	switch {
	case a == "" || a == b:
		return b
	case b == "":
		return a
	}
	return strconv.FormatUint(maskOf(a)|maskOf(b), 16)
}

// CountDone tells how many tasks a bit set says are done.
func CountDone(done string) int { return bits.OnesCount64(maskOf(done)) }

// Clone returns a copy that shares nothing with p.
func (p *Part) Clone() Part {
	return Part{Done: p.Done, Open: append([]Placement(nil), p.Open...), Spent: p.Spent}
}

// Remove closes the placement of a task's attempt on a machine.
func (p *Part) Remove(task int, attempt uint64, machine string) bool {
	i := p.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	p.Open = append(p.Open[:i:i], p.Open[i+1:]...)
	return true
}

// IsOpen tells whether the placement of a task's attempt on a machine is open.
func (p *Part) IsOpen(task int, attempt uint64, machine string) bool {
	return p.find(task, attempt, machine) >= 0
}

// Placement returns the open placement of a task's attempt on a machine.
func (p *Part) Placement(task int, attempt uint64, machine string) (Placement, bool) {
	if i := p.find(task, attempt, machine); i >= 0 {
		return p.Open[i], true
	}
	return Placement{}, false
}

func (p *Part) find(task int, attempt uint64, machine string) int {
	return slices.IndexFunc(p.Open, func(o Placement) bool {
		return o.Task == task && o.Attempt == attempt && o.Machine == machine
	})
}

// Record is the value kept under a job's key. A finished job without open
// placements shrinks to its phase.
type Record struct {
	Spec    *wire.Job `msgpack:"s,omitempty"`
	Phase   string    `msgpack:"f,omitempty"`
	Cancel  bool      `msgpack:"c,omitempty"`
	Created int64     `msgpack:"t,omitempty"` // time of day of the submission, in microseconds
	Attempt uint64    `msgpack:"a,omitempty"` // highest attempt placed so far
	Count   int       `msgpack:"n,omitempty"` // done tasks, for display
	// Apart tells that the description leaves no room for tasks: they are all in
	// parts, from 1 on. Written from Grouped on.
	Apart bool `msgpack:"p,omitempty"`
	// Account is what the job has used, once it is over and nothing else is left.
	Account *Account `msgpack:"b,omitempty"`
	Part
}

// PartOf tells which part a task is in.
func (r *Record) PartOf(task int) int {
	if r.Apart {
		return task/PartTasks + 1
	}
	return task / PartTasks
}

// Span tells which tasks part n of a job of so many tasks holds: the first, and
// how many.
func (r *Record) Span(n, tasks int) (first, count int) {
	if r.Apart {
		n--
	}
	first = n * PartTasks
	return first, min(PartTasks, tasks-first)
}

// Parts tells which parts a job of so many tasks has: the first, and the one
// after the last.
func (r *Record) Parts(tasks int) (first, end int) {
	if r.Apart {
		first = 1
	}
	return first, first + (tasks+PartTasks-1)/PartTasks
}

// Final tells whether the record's phase can't change any more.
func (r *Record) Final() bool { return r.Phase != Active }

// Clone returns a copy that shares nothing mutable with r.
func (r *Record) Clone() Record {
	c := *r
	c.Part = r.Part.Clone()
	return c
}

// Shrink reduces a finished record that has nothing open.
func (r *Record) Shrink() {
	*r = Record{Phase: r.Phase, Count: r.Count}
}

// Keys of the state service.
const (
	Root       = "ch/"
	jobPrefix  = Root + "job/"
	partPrefix = Root + "part/"
)

// RecordKey is the key of a job's record.
func RecordKey(id string) string { return jobPrefix + id }

// PartKey is the key of a job's n-th part.
func PartKey(id string, n int) string { return fmt.Sprintf("%s%s/%d", partPrefix, id, n) }

// ParseKey takes a key apart; part is 0 for the record itself.
func ParseKey(key string) (id string, part int, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, 0, wire.ValidJobID(id)
	}
	rest, ok := strings.CutPrefix(key, partPrefix)
	if !ok {
		return "", 0, false
	}
	id, num, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(num)
	return id, n, ok && err == nil && n > 0 && wire.ValidJobID(id)
}

// SortedKeys lists attempts in a set order.
func SortedKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return keys
}
