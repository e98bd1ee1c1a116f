package records

import (
	"fmt"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

const placementPagePrefix = job.KeyRoot + "placed/"

// PlacementPageKey returns the key of a placement page.
func PlacementPageKey(n uint64) string { return placementPagePrefix + strconv.FormatUint(n, 10) }

// PlacementEntry is the state that a placement page holds for the TasksPerShard tasks of a job that
// start at task TasksPerShard*Index.
type PlacementEntry struct {
	Job         string
	Index       int    // task number divided by TasksPerShard, whichever shard of the job stores the task
	LastAttempt uint64 // highest attempt ever placed in this entry; attempts increase across records and pages
	job.Shard
}

// storedPage is the value of a page. It holds each zone name once; machines have the index of theirs.
type storedPage struct {
	//lint:ignore U1000 read by the encoder: a page is encoded as an array, to be short
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
	Usage       *job.Usage
	Attempts    []storedAttempt
}

// storedAttempt holds the open placements of one attempt that were made at the same time. Tasks of
// a job that start together share one.
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
	_msgpack    struct{} `msgpack:",as_array"`
	Tasks       string   // hexadecimal bit set
	Machine     string
	Incarnation uint64
	Zone        int // twice the index of the zone in the page, plus one for a spot instance
}

// EncodePlacementPage encodes entries as the value of a page.
func EncodePlacementPage(entries []PlacementEntry) ([]byte, error) {
	encoder := pageEncoder{
		page:  storedPage{Zones: []string{}, Entries: make([]storedEntry, 0, len(entries))},
		zones: map[string]int{},
	}
	for i := range entries {
		e := &entries[i]
		encoder.page.Entries = append(encoder.page.Entries, storedEntry{
			Job:         e.Job,
			Index:       e.Index,
			LastAttempt: e.LastAttempt,
			Done:        e.DoneSet,
			Usage:       e.Usage,
			Attempts:    encoder.attempts(e.Open),
		})
	}
	return job.Encode(&encoder.page)
}

// pageEncoder builds the stored form of a page.
type pageEncoder struct {
	page  storedPage
	zones map[string]int // index in page.Zones by zone name
}

// storedZone returns the zone of a placement as encoded in storedMachine.Zone, and adds it to the
// zones of the page if it is new.
func (pe *pageEncoder) storedZone(p *job.Placement) int {
	index, known := pe.zones[p.Zone]
	if !known {
		index = len(pe.page.Zones)
		pe.zones[p.Zone] = index
		pe.page.Zones = append(pe.page.Zones, p.Zone)
	}
	if p.Spot {
		return 2*index + 1
	}
	return 2 * index
}

// attempts groups open placements by attempt and placement time, and each group by machine,
// incarnation and zone. Groups are in the order of their first placements.
func (pe *pageEncoder) attempts(open []job.Placement) []storedAttempt {
	type attemptKey struct {
		attempt  uint64
		placedAt int64
	}
	type machineKey struct {
		machine     string
		incarnation uint64
		zone        int
	}
	attempts := []storedAttempt{}
	attemptIndex := map[attemptKey]int{}
	machineIndex := map[attemptKey]map[machineKey]int{}
	masks := map[attemptKey]map[machineKey]uint64{}
	for n := range open {
		p := &open[n]
		ak := attemptKey{p.Attempt, p.PlacedAt}
		i, known := attemptIndex[ak]
		if !known {
			i = len(attempts)
			attemptIndex[ak] = i
			machineIndex[ak] = map[machineKey]int{}
			masks[ak] = map[machineKey]uint64{}
			attempts = append(attempts, storedAttempt{Attempt: p.Attempt, PlacedAt: p.PlacedAt})
		}
		zone := pe.storedZone(p)
		mk := machineKey{p.Machine, p.Incarnation, zone}
		k, known := machineIndex[ak][mk]
		if !known {
			k = len(attempts[i].Machines)
			machineIndex[ak][mk] = k
			stored := storedMachine{Machine: p.Machine, Incarnation: p.Incarnation, Zone: zone}
			attempts[i].Machines = append(attempts[i].Machines, stored)
		}
		masks[ak][mk] |= 1 << uint(p.Task%job.TasksPerShard)
		attempts[i].Machines[k].Tasks = strconv.FormatUint(masks[ak][mk], 16)
	}
	return attempts
}

// DecodePlacementPage decodes the value of a page.
func DecodePlacementPage(value []byte) ([]PlacementEntry, error) {
	var page storedPage
	if err := job.Decode(value, &page); err != nil {
		return nil, err
	}
	entries := make([]PlacementEntry, 0, len(page.Entries))
	for i := range page.Entries {
		stored := &page.Entries[i]
		if stored.Index < 0 || stored.Index > (wire.MaxTasksPerJob-1)/job.TasksPerShard {
			return nil, fmt.Errorf("%w: entry %d of %s", job.ErrTaskOutOfRange, stored.Index, stored.Job)
		}
		entry := PlacementEntry{
			Job:         stored.Job,
			Index:       stored.Index,
			LastAttempt: stored.LastAttempt,
			Shard:       job.Shard{DoneSet: stored.Done, Usage: stored.Usage},
		}
		for k := range stored.Attempts {
			if err := entry.addPlacements(&stored.Attempts[k], page.Zones); err != nil {
				return nil, fmt.Errorf("entry %d of %s: %w", stored.Index, stored.Job, err)
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// addPlacements adds the placements of a stored attempt to the entry.
func (e *PlacementEntry) addPlacements(attempt *storedAttempt, zones []string) error {
	for _, m := range attempt.Machines {
		if m.Zone < 0 || m.Zone/2 >= len(zones) {
			return fmt.Errorf("machine %s: encoded zone %d is out of range: the page has %d zones",
				m.Machine, m.Zone, len(zones))
		}
		mask, err := strconv.ParseUint(m.Tasks, 16, job.TasksPerShard)
		if err != nil {
			return fmt.Errorf("machine %s: parse bit set of tasks: %w", m.Machine, err)
		}
		for i := range job.TasksPerShard {
			if mask>>uint(i)&1 == 0 {
				continue
			}
			e.Open = append(e.Open, job.Placement{
				Task:        e.Index*job.TasksPerShard + i,
				Attempt:     attempt.Attempt,
				Machine:     m.Machine,
				Incarnation: m.Incarnation,
				Zone:        zones[m.Zone/2],
				PlacedAt:    attempt.PlacedAt,
				Spot:        m.Zone%2 == 1,
			})
		}
	}
	return nil
}
