package job

import (
	"fmt"
	"math/bits"
	"slices"
	"strconv"

	"coralhub/wire"
)

// TasksPerShard is the number of tasks that share one value of the state service: the open
// placements of this many tasks fit into 2 KiB with names of usual length.
const TasksPerShard = 32

// Shard holds the state of TasksPerShard tasks. Shard 0 is stored inside the record, the others
// under keys of their own. A stored value has placements in one of Open, Groups and TimedGroups,
// depending on its format; in memory they are always in Open. Methods that take an index i count
// the tasks of the shard from 0.
type Shard struct {
	DoneSet     string       `msgpack:"d,omitempty"` // hexadecimal bit set
	Open        []Placement  `msgpack:"o,omitempty"`
	Groups      []group      `msgpack:"g,omitempty"`
	TimedGroups []timedGroup `msgpack:"h,omitempty"` // in place of Groups from FormatPreemption on
	Usage       *Usage       `msgpack:"u,omitempty"` // never modified in place, so copies may share it
}

// IsDone reports whether the i-th task is done.
func (s *Shard) IsDone(i int) bool { return s.doneMask()>>uint(i)&1 == 1 }

// SetDone marks the i-th task as done.
func (s *Shard) SetDone(i int) { s.DoneSet = formatTaskSet(s.doneMask() | 1<<uint(i)) }

// DoneCount returns the number of done tasks.
func (s *Shard) DoneCount() int { return bits.OnesCount64(s.doneMask()) }

// Pending returns the indexes of those of the first n tasks that are neither done nor placed.
func (s *Shard) Pending(n int) []int {
	taken := s.doneMask()
	for _, p := range s.Open {
		taken |= 1 << uint(p.Task%TasksPerShard)
	}
	if bits.OnesCount64(taken) == n {
		return nil
	}
	var missing []int
	for i := range n {
		if taken>>uint(i)&1 == 0 {
			missing = append(missing, i)
		}
	}
	return missing
}

// Clone returns a copy that shares nothing mutable with s.
func (s *Shard) Clone() Shard {
	return Shard{DoneSet: s.DoneSet, Open: append([]Placement(nil), s.Open...), Usage: s.Usage}
}

// Remove removes the placement of a task's attempt on a machine, and reports whether it was open.
func (s *Shard) Remove(task int, attempt uint64, machine string) bool {
	i := s.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	s.Open = append(s.Open[:i:i], s.Open[i+1:]...)
	return true
}

// Close removes the placement of a task's attempt on a machine and adds its usage to the shard's. It
// returns false if the placement is not open: its usage has been added before.
func (s *Shard) Close(task int, attempt uint64, machine string, occupancy Occupancy) bool {
	i := s.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	s.Usage = s.Usage.Plus(s.Open[i].usage(occupancy))
	return s.Remove(task, attempt, machine)
}

// IsOpen reports whether the placement of a task's attempt on a machine is open.
func (s *Shard) IsOpen(task int, attempt uint64, machine string) bool {
	return s.find(task, attempt, machine) >= 0
}

// Placement returns the open placement of a task's attempt on a machine.
func (s *Shard) Placement(task int, attempt uint64, machine string) (Placement, bool) {
	if i := s.find(task, attempt, machine); i >= 0 {
		return s.Open[i], true
	}
	return Placement{}, false
}

func (s *Shard) find(task int, attempt uint64, machine string) int {
	return slices.IndexFunc(s.Open, func(p Placement) bool {
		return p.Task == task && p.Attempt == attempt && p.Machine == machine
	})
}

// checkTasks returns an error that wraps ErrTaskOutOfRange if there is a placement of a task that no job can have.
func (s *Shard) checkTasks() error {
	for i := range s.Open {
		if p := &s.Open[i]; !wire.ValidTask(p.Task) {
			return fmt.Errorf("%w: placement of task %d on %s", ErrTaskOutOfRange, p.Task, p.Machine)
		}
	}
	return nil
}

func (s *Shard) doneMask() uint64 { return parseTaskSet(s.DoneSet) }

// UnionDoneSets returns the bit set of the tasks that are done in either set.
func UnionDoneSets(a, b string) string {
	switch {
	case a == "" || a == b:
		return b
	case b == "":
		return a
	}
	return formatTaskSet(parseTaskSet(a) | parseTaskSet(b))
}

// CountDoneSet returns the number of done tasks in a bit set.
func CountDoneSet(doneSet string) int { return bits.OnesCount64(parseTaskSet(doneSet)) }

// parseTaskSet parses a hexadecimal bit set of tasks. An empty or malformed string is an empty set.
func parseTaskSet(set string) uint64 {
	if set == "" {
		return 0
	}
	mask, err := strconv.ParseUint(set, 16, 64)
	if err != nil {
		return 0
	}
	return mask
}

// formatTaskSet formats a bit set of tasks as hexadecimal text, the inverse of parseTaskSet.
func formatTaskSet(mask uint64) string { return strconv.FormatUint(mask, 16) }
