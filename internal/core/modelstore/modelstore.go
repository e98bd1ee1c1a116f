// Package modelstore stores a leader's model of run times (package estimate) under a few keys for its successors.
// Every node follows the stored form; only the leader decodes and writes it.
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

// KeyPrefix begins the keys of the chunks; the number of the chunk follows.
const KeyPrefix = job.KeyRoot + "learnt/"

const (
	// writeInterval is the least time between two writes of the model.
	writeInterval = 10 * config.Second
	// valueShare is the share of the largest value that a chunk of the model may fill.
	valueShare = 0.5
)

// Store is the stored form of the model, as this node knows it. It is not safe for concurrent use.
type Store struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector

	chunks      [estimate.Chunks]chunk
	nextChunk   int           // at which the search for a changed chunk begins
	nextWriteAt config.Micros // no chunk is written before
}

// chunk is a stored part of the model.
type chunk struct {
	version      uint64
	raw          []byte
	laterVersion bool   // written by a later release: not to be overwritten
	writtenRuns  uint64 // number of runs that were observed when it was last written
	inFlight     bool   // a write of it is
}

// New returns a store of which nothing has been read yet.
func New(out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector) *Store {
	return &Store{outbox: out, encoding: encoding, elector: elector}
}

// Reset forgets which chunk is written next and when, at the beginning and at the end of a term.
func (s *Store) Reset() {
	s.nextChunk = 0
	s.nextWriteAt = 0
}

// Apply takes a stored chunk, which is named by its number. Other names and versions that are known are ignored.
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

// Restore returns the model that earlier leaders have stored, at the beginning of a term. Chunks that can't be decoded
// are left out.
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

// Write writes the next chunk of the model that has changed.
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

// writeChunk writes a chunk of the model if it has anything to hold.
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
