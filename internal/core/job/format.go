package job

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/wire"
)

// Format is the version of the encoding of stored values. Nodes of different versions run side by
// side during an upgrade, and a node drops fields that its version does not have when it rewrites a
// value. Each node therefore writes the format in force, which is raised once every node has
// announced that it reads the next one. It reads all formats up to NewestFormat.
type Format int

const (
	// FormatPlacements is the first format: each open placement is stored individually, and jobs
	// have no dependencies. Its encoder and this constant can be removed once every deployment has
	// raised its format, and its decoder once no stored value uses it. Code that exists only for
	// this format checks for formats below FormatGrouped.
	FormatPlacements Format = 1
	// FormatGrouped stores the tasks of a job that are on the same machine as a group, and lets
	// jobs have dependencies.
	FormatGrouped Format = 2
	// FormatPreemption makes leaders commit preemption decisions before they stop tasks. It stores
	// the placement time of open placements, usage in shards and the completion log, and usage
	// accounts of finished jobs.
	FormatPreemption Format = 3
	// FormatPlacementPages makes leaders place tasks of many jobs in one value, see package
	// records. A record alone no longer shows whether tasks of its job were ever placed.
	FormatPlacementPages Format = 4
	// NewestFormat is the newest format that this version reads.
	NewestFormat = FormatPlacementPages
)

// group holds the tasks of a shard that share a machine and an attempt.
type group struct {
	//lint:ignore U1000 read by the encoder: a group is encoded as an array, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	First       int      // task number of bit 0 of Tasks
	Tasks       string   // hexadecimal bit set
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Zone        string
}

// timedGroup is a group with the time at which its tasks were placed. PlacedAt is twice the encoded
// time (see EncodeTime), plus one for a spot instance.
type timedGroup struct {
	//lint:ignore U1000 read by the encoder: a group is encoded as an array, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	First       int
	Tasks       string
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Zone        string
	PlacedAt    int64
}

// groupKey identifies a group by the fields that its tasks have in common.
type groupKey struct {
	attempt, incarnation uint64
	machine, zone        string
	placedAt             int64 // as in timedGroup, 0 for a group without a time
}

// groupKeyOf returns the key of the group that a placement belongs to in the given format.
func groupKeyOf(p *Placement, format Format) groupKey {
	key := groupKey{attempt: p.Attempt, incarnation: p.Incarnation, machine: p.Machine, zone: p.Zone}
	if format < FormatPreemption {
		return key
	}
	key.placedAt = p.PlacedAt * 2
	if p.Spot {
		key.placedAt++
	}
	return key
}

// pack returns the shard as it is stored in the given format. Groups are in the order of their first
// placement.
func (s Shard) pack(format Format) Shard {
	if format < FormatPreemption {
		s.Usage = nil
	}
	if format < FormatGrouped || len(s.Open) == 0 {
		return s
	}
	var order []groupKey
	masks := map[groupKey]uint64{}
	for i := range s.Open {
		p := &s.Open[i]
		key := groupKeyOf(p, format)
		if masks[key] == 0 {
			order = append(order, key)
		}
		masks[key] |= 1 << uint(p.Task%TasksPerShard)
	}
	packed := Shard{DoneSet: s.DoneSet, Usage: s.Usage}
	first := s.Open[0].Task / TasksPerShard * TasksPerShard
	for _, key := range order {
		tasks := formatTaskSet(masks[key])
		if format >= FormatPreemption {
			packed.TimedGroups = append(packed.TimedGroups, timedGroup{First: first, Tasks: tasks, Attempt: key.attempt,
				Machine: key.machine, Incarnation: key.incarnation, Zone: key.zone, PlacedAt: key.placedAt})
			continue
		}
		packed.Groups = append(packed.Groups, group{First: first, Tasks: tasks, Attempt: key.attempt,
			Machine: key.machine, Incarnation: key.incarnation, Zone: key.zone})
	}
	return packed
}

// unpack replaces the groups of a stored shard by placements, in the order of tasks.
func (s *Shard) unpack() {
	for _, g := range s.Groups {
		s.TimedGroups = append(s.TimedGroups, timedGroup{First: g.First, Tasks: g.Tasks, Attempt: g.Attempt,
			Machine: g.Machine, Incarnation: g.Incarnation, Zone: g.Zone})
	}
	if s.TimedGroups == nil {
		return
	}
	for i := range s.TimedGroups {
		s.unpackGroup(&s.TimedGroups[i])
	}
	s.Groups = nil
	s.TimedGroups = nil
	slices.SortStableFunc(s.Open, func(a, b Placement) int { return a.Task - b.Task })
}

func (s *Shard) unpackGroup(g *timedGroup) {
	mask := parseTaskSet(g.Tasks)
	for i := range TasksPerShard {
		if mask>>uint(i)&1 == 0 {
			continue
		}
		s.Open = append(s.Open, Placement{
			Task:        g.First + i,
			Attempt:     g.Attempt,
			Machine:     g.Machine,
			Incarnation: g.Incarnation,
			Zone:        g.Zone,
			PlacedAt:    g.PlacedAt / 2,
			Spot:        g.PlacedAt%2 == 1,
		})
	}
}

// EncodeRecord encodes a record as a value of the given format.
func EncodeRecord(record *Record, format Format) ([]byte, error) {
	packed := *record
	packed.Shard = record.pack(format)
	return Encode(&packed)
}

// EncodeShard encodes a shard as a value of the given format.
func EncodeShard(shard *Shard, format Format) ([]byte, error) {
	packed := shard.pack(format)
	return Encode(&packed)
}

// ErrTaskOutOfRange is the error for a stored value that names a task which no job can have, or a job with a number of
// tasks that is not allowed. No version writes such a value.
var ErrTaskOutOfRange = errors.New("task out of range")

// DecodeRecord decodes a record of any format.
func DecodeRecord(value []byte, record *Record) error {
	if err := Decode(value, record); err != nil {
		return err
	}
	if spec := record.Spec; spec != nil && !wire.ValidTask(spec.Tasks-1) {
		return fmt.Errorf("%w: a job of %d tasks", ErrTaskOutOfRange, spec.Tasks)
	}
	record.unpack()
	return record.checkTasks()
}

// DecodeShard decodes a shard of any format.
func DecodeShard(value []byte, shard *Shard) error {
	if err := Decode(value, shard); err != nil {
		return err
	}
	shard.unpack()
	return shard.checkTasks()
}

// Encode encodes a stored value. Records and shards are encoded by EncodeRecord and EncodeShard.
func Encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Decode decodes a value that was encoded by Encode. v must be a pointer.
func Decode(value []byte, v any) error { return wire.Unmarshal(value, v) }
