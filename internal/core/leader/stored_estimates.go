package leader

import (
	"errors"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/estimate"
	"coralhub/wire"
)

const (
	estimatesPrefix = job.KeyRoot + "learnt/"
	// estimatesWriteInterval is the least time between two writes of the model.
	estimatesWriteInterval = 10 * config.Second
	// estimatesValueShare is the share of the largest value that a chunk of the model may fill.
	estimatesValueShare = 0.5
)

// storedChunk is a stored part of the model, as this node knows it.
type storedChunk struct {
	version      uint64
	raw          []byte
	laterVersion bool   // written by a later release: not to be overwritten
	writtenRuns  uint64 // number of runs that were observed when it was last written
	inFlight     bool   // a write of it is
}

// applyStoredEstimates takes a stored chunk with a number. Only the leader decodes it.
func (es *runTimeEstimates) applyStoredEstimates(number string, ev *wire.Change) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= estimate.Chunks || ev.Version <= es.stored[n].version {
		return
	}
	chunk := &es.stored[n]
	chunk.version, chunk.raw = ev.Version, nil
	if ev.Put != "" {
		chunk.raw = slices.Clone(ev.Value)
	}
}

// restoreEstimates restores the model that earlier leaders have stored.
func (es *runTimeEstimates) restoreEstimates() {
	if !es.cfg.Settings.Estimates {
		return
	}
	var chunks []*estimate.Chunk
	for n := range es.stored {
		stored := &es.stored[n]
		stored.laterVersion, stored.writtenRuns, stored.inFlight = false, 0, false
		if len(stored.raw) == 0 {
			continue
		}
		chunk, err := estimate.Decode(stored.raw)
		if err != nil {
			stored.laterVersion = errors.Is(err, estimate.ErrVersion)
			es.outbox.Log("stored run-time estimates ignored", "key", estimatesPrefix+strconv.Itoa(n), "error", err.Error())
			continue
		}
		chunks = append(chunks, chunk)
	}
	settings := estimate.DefaultSettings()
	settings.Groups = es.cfg.Settings.EstimateGroups
	es.model = estimate.Restore(settings, es.elector.TermStart(), chunks...)
	es.waits = map[string]*waitStats{}
	for _, j := range es.unfinished {
		j.inherited = j.Record.LastAttempt > 0
	}
}

// writeEstimates writes one chunk of the model, when no other changes are to be written.
func (es *runTimeEstimates) writeEstimates() {
	if es.model == nil || es.elector.TokenChangePending() || es.outbox.Now() < es.nextWriteAt {
		return
	}
	otherChanges := es.commits.inFlightChanges > 0 || len(es.completionLog.unwritten) > 0 || es.diagnostics.counters.deferred > 0
	if otherChanges {
		return
	}
	for i := range estimate.Chunks {
		n := (es.nextChunk + i) % estimate.Chunks
		chunk := &es.stored[n]
		if !chunk.laterVersion && !chunk.inFlight && chunk.writtenRuns != es.model.Observed() {
			es.writeChunk(n, chunk)
			return
		}
	}
}

// writeChunk writes a chunk of the model if it has anything to hold.
func (es *runTimeEstimates) writeChunk(n int, chunk *storedChunk) {
	es.nextChunk = n + 1
	es.nextWriteAt = es.outbox.Now() + estimatesWriteInterval
	value, err := es.model.Encode(n, func(raw []byte) bool {
		return wire.JSONSize(raw) <= int(float64(es.encoding.MaxValueBytes())*estimatesValueShare)
	})
	observed := es.model.Observed()
	if err != nil {
		es.outbox.Log("run-time estimates not written", "error", err.Error())
		return
	}
	if value == nil {
		chunk.writtenRuns = observed
		return
	}
	chunk.inFlight = true
	key := estimatesPrefix + strconv.Itoa(n)
	es.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{es.elector.Condition(), {Key: key, Version: chunk.version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.PurposeEstimates, func(d msg.CommitDone) {
		chunk.inFlight = false
		if d.Outcome == msg.OK && d.Revision > chunk.version {
			chunk.version, chunk.raw, chunk.writtenRuns = d.Revision, value, observed
		}
	})
}
