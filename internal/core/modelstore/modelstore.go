// Package modelstore stores a leader's model of run times (package estimate) under a few keys for its successors.
// Every node keeps a copy of the stored chunks; only the leader decodes and writes them.
package modelstore

import (
	"errors"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/estimate"
	"coralhub/wire"
)

// KeyPrefix is the prefix of the keys of the chunks; the number of the chunk follows it.
const KeyPrefix = job.KeyRoot + "learnt/"

const (
	// writeInterval is the minimum time between two writes of the model.
	writeInterval = 10 * config.Second
	// valueShare is the share of the maximum value size that a chunk of the model may fill.
	valueShare = 0.5
)

// Store is a node's copy of the stored model, and writes it on the leader. It is not safe for concurrent use.
type Store struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector

	chunks      [estimate.Chunks]chunk
	nextChunk   int           // chunk at which the search for a changed chunk begins
	nextWriteAt config.Micros // earliest time of the next write
}

// chunk is a stored part of the model.
type chunk struct {
	version      uint64
	raw          []byte
	laterVersion bool   // written by a later release, so it must not be overwritten
	writtenRuns  uint64 // number of observed runs in the model that was last written
	inFlight     bool   // a write of it is in flight
}

// New returns a store without any chunks.
func New(out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector) *Store {
	return &Store{outbox: out, encoding: encoding, elector: elector}
}

// Reset clears the position and the time of the next write. It is called at the beginning and at the end of a term.
func (s *Store) Reset() {
	s.nextChunk = 0
	s.nextWriteAt = 0
}

// Apply copies a stored chunk, given its decimal number. Invalid numbers, and versions that are not newer than the
// known one, are ignored.
func (s *Store) Apply(number string, change *wire.Change) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= estimate.Chunks || change.Version <= s.chunks[n].version {
		return
	}
	c := &s.chunks[n]
	c.version = change.Version
	c.raw = nil
	if change.Put != "" {
		c.raw = slices.Clone(change.Value)
	}
}

// Restore returns the model that earlier leaders have stored. It is called at the beginning of a term. Chunks that
// can't be decoded are logged and left out.
func (s *Store) Restore(settings estimate.Settings) *estimate.Model {
	var decoded []*estimate.Chunk
	for n := range s.chunks {
		c := &s.chunks[n]
		c.laterVersion = false
		c.writtenRuns = 0
		c.inFlight = false
		if len(c.raw) == 0 {
			continue
		}
		part, err := estimate.Decode(c.raw)
		if err != nil {
			c.laterVersion = errors.Is(err, estimate.ErrVersion)
			s.outbox.Log("stored run-time estimates ignored", "key", KeyPrefix+strconv.Itoa(n), "error", err.Error())
			continue
		}
		decoded = append(decoded, part)
	}
	return estimate.Restore(settings, s.elector.TermStart(), decoded...)
}

// WriteDue reports whether a chunk may be written now.
func (s *Store) WriteDue() bool {
	return !s.elector.TokenChangePending() && s.outbox.Now() >= s.nextWriteAt
}

// Write writes the next chunk of the model that has changed since it was last written.
func (s *Store) Write(model *estimate.Model) {
	for i := range estimate.Chunks {
		n := (s.nextChunk + i) % estimate.Chunks
		c := &s.chunks[n]
		if !c.laterVersion && !c.inFlight && c.writtenRuns != model.Observed() {
			s.writeChunk(model, n)
			return
		}
	}
}

// writeChunk writes a chunk of the model unless the chunk is empty.
func (s *Store) writeChunk(model *estimate.Model, n int) {
	s.nextChunk = n + 1
	s.nextWriteAt = s.outbox.Now() + writeInterval
	value, err := model.Encode(n, func(raw []byte) bool {
		return wire.JSONSize(raw) <= int(float64(s.encoding.MaxValueBytes())*valueShare)
	})
	if err != nil {
		s.outbox.Log("run-time estimates not written", "error", err.Error())
		return
	}
	c := &s.chunks[n]
	observed := model.Observed()
	if value == nil {
		c.writtenRuns = observed
		return
	}
	c.inFlight = true
	key := KeyPrefix + strconv.Itoa(n)
	s.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{s.elector.Condition(), {Key: key, Version: c.version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.PurposeEstimates, func(d msg.CommitDone) {
		c.inFlight = false
		if d.Outcome == msg.OK && d.Revision > c.version {
			c.version = d.Revision
			c.raw = value
			c.writtenRuns = observed
		}
	})
}
