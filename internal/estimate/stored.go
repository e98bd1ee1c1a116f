package estimate

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// A Model is stored in a fixed number of values, each with the groups whose keys hash to it. A value separates the data
// of its writer's epoch from the data restored from earlier epochs, so that values can be merged in any order without
// counting any data twice. If a value is lost, only its data is lost: the model stays usable.

// Chunks is the number of values that a Model is stored in.
const Chunks = 4

// formatVersion is the version of the stored format.
const formatVersion = 1

var (
	// ErrVersion is returned for a value in a later format version.
	ErrVersion = errors.New("written by a later version")
	// ErrDamaged is returned for a value that can't be decoded or contains numbers out of range.
	ErrDamaged = errors.New("damaged")
)

// envelope is the outer encoding of a value in the state service, made of strings and numbers only.
type envelope struct {
	Version int    `msgpack:"v"`
	Data    string `msgpack:"d"` // base64 of a Chunk, compressed by zstd with a checksum
}

// Chunk is the content of a stored value.
type Chunk struct {
	UpTo   uint64 // last epoch whose data is in Base
	Epoch  uint64 // epoch whose data is in Own
	Seen   uint64 // number of runs that Epoch had recorded
	Base   []storedGroup
	Own    []storedGroup
	Trust  []storedCoverage
	Speeds []storedSpeed
}

// storedGroup is the stored form of a tally of a group.
type storedGroup struct {
	//lint:ignore U1000 read by the encoder: a group is stored as an array, which is shorter than a map
	_msgpack       struct{} `msgpack:",as_array"`
	Level          uint8
	Name, Shape    string
	Class          string
	Generation     uint32
	DetectedChange bool
	LastUse        uint64 // the model's clock at the last use
	Sums           [7]int64
	Errors         []int64 // triples of bin, completed, censored; a bin is stored as the distance from the previous one
}

// storedCoverage is the stored form of the coverage of a class.
type storedCoverage struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Class    string
	Outcomes uint16
	Covered  [3]uint16
}

// storedSpeed is the stored form of the speed of a machine.
type storedSpeed struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Machine  string
	N        uint16
	Sum      int32 // in thousandths
	Spread   int32 // in thousandths
}

// chunkIndex returns the index of the value that a group is stored in.
func chunkIndex(k groupKey) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.level)})
	_, _ = h.Write([]byte(k.name))
	_, _ = h.Write([]byte(k.shape))
	return int(h.Sum32() % Chunks)
}

// stored returns the stored form of a tally of the group.
func (g *group) stored(k groupKey, t *tally) storedGroup {
	s := storedGroup{
		Level:          uint8(k.level),
		Name:           k.name,
		Shape:          k.shape,
		Class:          g.class,
		Generation:     g.generation,
		DetectedChange: g.detectedChange,
		LastUse:        g.lastUse,
		Sums:           [7]int64{t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY},
	}
	last := 0
	for i := range t.Completed {
		if t.Completed[i] > 0 || t.Censored[i] > 0 {
			s.Errors = append(s.Errors, int64(i-last), int64(t.Completed[i]), int64(t.Censored[i]))
			last = i
		}
	}
	return s
}

const (
	// fieldsPerBin is the number of integers in the stored form of a bin.
	fieldsPerBin = 3
	// maxSum is the upper bound of the absolute values of stored sums.
	maxSum = 1 << 40
	// maxRuns is the upper bound of the number of runs of a group. It exceeds maximumCount because merging adds up the
	// runs of several epochs.
	maxRuns = 16 * maximumCount
	// maxMean is the upper bound of the absolute values of means of logarithms.
	maxMean = 30
)

// restore returns the key and the tally of a stored group. It validates all numbers, because stored values are not
// trusted. Its error wraps ErrDamaged.
func (s *storedGroup) restore() (groupKey, tally, error) {
	k := groupKey{Level(s.Level), s.Name, s.Shape}
	var t tally
	if k.level < Everything || k.level >= levels || len(s.Errors)%fieldsPerBin != 0 {
		return k, t, fmt.Errorf(
			"%w: group %q, shape %q: level %d out of range, or %d error fields not a multiple of %d",
			ErrDamaged, s.Name, s.Shape, s.Level, len(s.Errors), fieldsPerBin)
	}
	if err := s.restoreSums(&t); err != nil {
		return k, t, err
	}
	err := s.restoreErrors(&t)
	return k, t, err
}

// restoreSums sets the counts and the sums of the tally.
func (s *storedGroup) restoreSums(t *tally) error {
	t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY = s.Sums[0], s.Sums[1], s.Sums[2], s.Sums[3], s.Sums[4], s.Sums[5], s.Sums[6]
	for _, v := range s.Sums {
		if v > maxSum || v < -maxSum {
			return fmt.Errorf("%w: sum %d of group %q is out of range, at most %d expected",
				ErrDamaged, v, s.Name, int64(maxSum))
		}
	}
	if t.N < 0 || t.Nx < 0 || t.Nx > t.N || t.N > maxRuns || t.XX < 0 {
		return fmt.Errorf("%w: counts of group %q out of range: %d runs, %d with a user's estimate, sum of squares %d",
			ErrDamaged, s.Name, t.N, t.Nx, t.XX)
	}
	runs := math.Max(float64(t.N), 1)
	estimated := math.Max(float64(t.Nx), 1)
	for _, mean := range []float64{float64(t.Y) / runs, float64(t.X) / estimated, float64(t.Yx) / estimated} {
		if math.Abs(mean)*sumUnit > maxMean {
			return fmt.Errorf("%w: mean logarithm %v of group %q is out of range, at most %d expected",
				ErrDamaged, mean*sumUnit, s.Name, maxMean)
		}
	}
	return nil
}

// restoreErrors sets the bins of errors of the tally.
func (s *storedGroup) restoreErrors(t *tally) error {
	bin := int64(0)
	for fields := range slices.Chunk(s.Errors, fieldsPerBin) {
		distance, completed, censored := fields[0], fields[1], fields[2]
		bin += distance
		binOutOfRange := bin < 0 || bin >= bins || distance < 0
		countOutOfRange := completed < 0 || censored < 0 || completed > math.MaxUint16 || censored > math.MaxUint16
		if binOutOfRange || countOutOfRange {
			return fmt.Errorf("%w: error bin %d of group %q is out of range: %d completed, %d censored",
				ErrDamaged, bin, s.Name, completed, censored)
		}
		t.Completed[bin], t.Censored[bin] = uint16(completed), uint16(censored)
		t.Errors += completed
	}
	return nil
}

// Chunk returns the n-th chunk of the model, counted from 0, with at most limit groups: the most recently used ones. A
// limit of 0 means no limit. Chunk 0 also contains the coverage of the classes and the speeds of the machines.
func (m *Model) Chunk(n, limit int) *Chunk {
	c := &Chunk{UpTo: m.baseEpoch, Epoch: m.epoch, Seen: m.observed}
	for _, k := range m.chunkKeys(n, limit) {
		g := m.groups[k]
		if g.base.N > 0 || g.base.Errors > 0 {
			c.Base = append(c.Base, g.stored(k, &g.base))
		}
		own := g.ownTally()
		if own.N > 0 || own.Errors > 0 {
			c.Own = append(c.Own, g.stored(k, &own))
		}
	}
	if n == 0 {
		c.Trust = m.storedCoverage()
		c.Speeds = m.storedSpeeds()
	}
	return c
}

// chunkKeys returns the keys of the groups in the n-th chunk, sorted by compareKeys. If there are more than limit, it
// returns the most recently used ones, newest first.
func (m *Model) chunkKeys(n, limit int) []groupKey {
	var keys []groupKey
	for _, k := range sortedGroups(m.groups) {
		if chunkIndex(k) == n && m.groups[k].N > 0 {
			keys = append(keys, k)
		}
	}
	if limit > 0 && len(keys) > limit {
		slices.SortStableFunc(keys, func(a, b groupKey) int {
			return cmp.Compare(m.groups[b].lastUse, m.groups[a].lastUse)
		})
		keys = keys[:limit]
	}
	return keys
}

// ownTally returns the data of this epoch: the tally without its base. Halving rounds the tally and its base
// separately, so that their difference may be out of range and is clamped.
func (g *group) ownTally() tally {
	own := g.tally
	own.combine(&g.base, -1)
	own.N = max(own.N, 0)
	own.Nx = min(max(own.Nx, 0), own.N)
	own.XX = max(own.XX, 0)
	return own
}

func (m *Model) storedCoverage() []storedCoverage {
	var stored []storedCoverage
	for class, c := range m.coverage {
		stored = append(stored, storedCoverage{Class: class, Outcomes: uint16(c.outcomes),
			Covered: [3]uint16{uint16(c.covered[0]), uint16(c.covered[1]), uint16(c.covered[2])}})
	}
	slices.SortFunc(stored, func(a, b storedCoverage) int { return cmp.Compare(a.Class, b.Class) })
	return stored
}

// storedSpeeds returns the stored form of the speeds that differ significantly from the usual, sorted by machine.
func (m *Model) storedSpeeds() []storedSpeed {
	var stored []storedSpeed
	for name, s := range m.machines {
		if s.slowness() != 0 {
			stored = append(stored, storedSpeed{
				Machine: name,
				N:       uint16(s.n),
				Sum:     int32(s.sum * 1000),
				Spread:  int32(s.spread * 1000),
			})
		}
	}
	slices.SortFunc(stored, func(a, b storedSpeed) int { return cmp.Compare(a.Machine, b.Machine) })
	return stored
}

// Encode returns the n-th value, with as many groups as fit; fits reports whether an encoded value is small enough. It
// returns nil if there are no groups to store or not even one fits.
func (m *Model) Encode(n int, fits func([]byte) bool) ([]byte, error) {
	limit := 0
	for {
		c := m.Chunk(n, limit)
		groups := max(len(c.Base), len(c.Own))
		if groups == 0 {
			return nil, nil
		}
		raw, err := c.Encode()
		if err != nil || fits(raw) {
			return raw, err
		}
		if groups == 1 {
			return nil, nil
		}
		limit = max(groups*3/4, 1)
	}
}

// Encode returns the chunk as a value to be stored.
func (c *Chunk) Encode() ([]byte, error) {
	plain, err := msgpack.Marshal(c)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(64<<10))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }() // EncodeAll leaves nothing to flush
	return msgpack.Marshal(envelope{formatVersion, base64.StdEncoding.EncodeToString(w.EncodeAll(plain, nil))})
}

// maxDecodedBytes is the upper bound of the decompressed size of a value.
const maxDecodedBytes = 1 << 20

// Decode decodes and validates a stored value. Its error wraps ErrVersion or ErrDamaged.
func Decode(raw []byte) (*Chunk, error) {
	plain, err := decompress(raw)
	if err != nil {
		return nil, err
	}
	c := &Chunk{}
	if err := msgpack.Unmarshal(plain, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	for _, list := range [][]storedGroup{c.Base, c.Own} {
		for i := range list {
			if _, _, err := list[i].restore(); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// decompress returns the encoded chunk that a stored value contains.
func decompress(raw []byte) ([]byte, error) {
	var e envelope
	if err := msgpack.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if e.Version > formatVersion {
		return nil, fmt.Errorf("%w: found %d, expected at most %d", ErrVersion, e.Version, formatVersion)
	}
	compressed, err := base64.StdEncoding.DecodeString(e.Data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	plain, err := r.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return plain, nil
}
