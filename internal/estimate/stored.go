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

// A Model is stored in a few values, each with the groups whose keys hash to it. A value
// separates what its writer's epoch has learned itself from what it took over from earlier
// epochs: so values can be merged in any order, and nothing counts twice. Losing a value
// loses evidence and nothing else.

// Chunks is the number of values that a Model is stored in.
const Chunks = 4

// version is that of the stored format.
const version = 1

var (
	// ErrVersion is returned for a value that a later version has written.
	ErrVersion = errors.New("written by a later version")
	// ErrDamaged is returned for a value that can't be read or holds impossible numbers.
	ErrDamaged = errors.New("damaged")
)

// envelope is the value as the key-value store has it: strings and numbers only.
type envelope struct {
	Version int    `msgpack:"v"`
	Data    string `msgpack:"d"` // a Chunk, compressed by zstd with its checksum, as base64
}

// Chunk is the content of a stored value.
type Chunk struct {
	UpTo   uint64 // Base is what the epochs up to this one have learned
	Epoch  uint64 // Own is what this epoch has learned
	Seen   uint64 // runs that this epoch had learned from
	Base   []storedGroup
	Own    []storedGroup
	Trust  []storedTrust
	Speeds []storedSpeed
}

// storedGroup is a tally of a group.
type storedGroup struct {
	//lint:ignore U1000 read by the encoder: a group is stored as a list, to be short
	_msgpack      struct{} `msgpack:",as_array"`
	Level         uint8
	Name, Shape   string
	Class         string
	Generation    uint32
	NoticedChange bool
	LastUse       uint64 // the model's clock at the last use
	Sums          [7]int64
	Errors        []int64 // triples of bin, ends, longer; a bin as its distance from the one before
}

// storedTrust is the coverage of a class.
type storedTrust struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Class    string
	Stated   uint16
	Inside   [3]uint16
}

// storedSpeed is the speed of a machine.
type storedSpeed struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Machine  string
	N        uint16
	Sum      int32 // in thousandths, like Spread
	Spread   int32
}

// chunkIndex returns the index of the value that a group is stored in.
func chunkIndex(k groupKey) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.level)})
	_, _ = h.Write([]byte(k.name))
	_, _ = h.Write([]byte(k.shape))
	return int(h.Sum32() % Chunks)
}

// stored returns a tally of the group in its stored form.
func (g *group) stored(k groupKey, t *tally) storedGroup {
	s := storedGroup{
		Level:         uint8(k.level),
		Name:          k.name,
		Shape:         k.shape,
		Class:         g.class,
		Generation:    g.generation,
		NoticedChange: g.noticedChange,
		LastUse:       g.lastUse,
		Sums:          [7]int64{t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY},
	}
	last := 0
	for i := range t.Ends {
		if t.Ends[i] > 0 || t.Longer[i] > 0 {
			s.Errors = append(s.Errors, int64(i-last), int64(t.Ends[i]), int64(t.Longer[i]))
			last = i
		}
	}
	return s
}

const (
	// errorFields is the number of integers that a bin is stored as.
	errorFields = 3
	// maxSum bounds the stored sums.
	maxSum = 1 << 40
	// maxRuns bounds the runs of a group: merging adds up those of several epochs.
	maxRuns = 16 * maximumCount
	// maxMean bounds the means of logarithms.
	maxMean = 30
)

// restore returns the key and the tally of a stored group. It checks all numbers: stored
// values may come from anywhere. Its error is ErrDamaged.
func (s *storedGroup) restore() (groupKey, tally, error) {
	k := groupKey{Level(s.Level), s.Name, s.Shape}
	var t tally
	if k.level < Everything || k.level >= levels || len(s.Errors)%errorFields != 0 {
		return k, t, fmt.Errorf("%w: group %d %q %q", ErrDamaged, s.Level, s.Name, s.Shape)
	}
	if err := s.restoreSums(&t); err != nil {
		return k, t, err
	}
	err := s.restoreErrors(&t)
	return k, t, err
}

// restoreSums sets the sums of the tally.
func (s *storedGroup) restoreSums(t *tally) error {
	t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY = s.Sums[0], s.Sums[1], s.Sums[2], s.Sums[3], s.Sums[4], s.Sums[5], s.Sums[6]
	for _, v := range s.Sums {
		if v > maxSum || v < -maxSum {
			return fmt.Errorf("%w: sum %d", ErrDamaged, v)
		}
	}
	if t.N < 0 || t.Nx < 0 || t.Nx > t.N || t.N > maxRuns || t.XX < 0 {
		return fmt.Errorf("%w: %d runs, %d with an estimate", ErrDamaged, t.N, t.Nx)
	}
	runs := math.Max(float64(t.N), 1)
	estimated := math.Max(float64(t.Nx), 1)
	for _, mean := range []float64{float64(t.Y) / runs, float64(t.X) / estimated, float64(t.Yx) / estimated} {
		if math.Abs(mean)*grain > maxMean {
			return fmt.Errorf("%w: a mean of %v", ErrDamaged, mean*grain)
		}
	}
	return nil
}

// restoreErrors sets the bins of errors of the tally.
func (s *storedGroup) restoreErrors(t *tally) error {
	bin := int64(0)
	for fields := range slices.Chunk(s.Errors, errorFields) {
		distance, ends, longer := fields[0], fields[1], fields[2]
		bin += distance
		binOutOfRange := bin < 0 || bin >= bins || distance < 0
		countOutOfRange := ends < 0 || longer < 0 || ends > math.MaxUint16 || longer > math.MaxUint16
		if binOutOfRange || countOutOfRange {
			return fmt.Errorf("%w: errors", ErrDamaged)
		}
		t.Ends[bin], t.Longer[bin] = uint16(ends), uint16(longer)
		t.Errors += ends
	}
	return nil
}

// Chunk returns the n-th part of what is known. If it has more than limit groups it
// contains those that were used last; 0 means no limit.
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

// chunkKeys returns the keys of the groups in the n-th chunk: in order, or if there are
// more than limit those that were used last.
func (m *Model) chunkKeys(n, limit int) []groupKey {
	var keys []groupKey
	for _, k := range sortedGroups(m.groups) {
		if chunkIndex(k) == n && m.groups[k].N > 0 {
			keys = append(keys, k)
		}
	}
	if limit > 0 && len(keys) > limit {
		slices.SortStableFunc(keys, func(a, b groupKey) int { return cmp.Compare(m.groups[b].lastUse, m.groups[a].lastUse) })
		keys = keys[:limit]
	}
	return keys
}

// ownTally returns what this epoch has learned. Halving rounds the tally and its base
// differently, so that the difference is bounded.
func (g *group) ownTally() tally {
	own := g.tally
	own.combine(&g.base, -1)
	own.N = max(own.N, 0)
	own.Nx = min(max(own.Nx, 0), own.N)
	own.XX = max(own.XX, 0)
	return own
}

func (m *Model) storedCoverage() []storedTrust {
	var stored []storedTrust
	for class, c := range m.coverage {
		stored = append(stored, storedTrust{Class: class, Stated: uint16(c.stated),
			Inside: [3]uint16{uint16(c.covered[0]), uint16(c.covered[1]), uint16(c.covered[2])}})
	}
	slices.SortFunc(stored, func(a, b storedTrust) int { return cmp.Compare(a.Class, b.Class) })
	return stored
}

// storedSpeeds returns the machines whose speed differs from the usual.
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

// Encode returns the n-th value with as many groups as fit; fits reports whether an
// encoded value is small enough. It returns nil if there is nothing to store.
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
	defer func() { _ = w.Close() }() // EncodeAll has written everything
	return msgpack.Marshal(envelope{version, base64.StdEncoding.EncodeToString(w.EncodeAll(plain, nil))})
}

// maxDecodedBytes bounds the decompressed size of a value.
const maxDecodedBytes = 1 << 20

// Decode reads a stored value. Its error is ErrVersion or ErrDamaged.
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

// decompress returns the encoded chunk within a stored value.
func decompress(raw []byte) ([]byte, error) {
	var e envelope
	if err := msgpack.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if e.Version > version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, e.Version)
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
