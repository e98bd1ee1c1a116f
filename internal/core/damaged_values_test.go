package core_test

import (
	"net/http"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// damagedRecord returns a record of an array, changed by change.
func damagedRecord(change func(*job.Record)) *job.Record {
	record := &job.Record{CreatedAt: 1, LastAttempt: 1, Spec: &wire.Job{ID: "j-7", Class: "c", Team: "red",
		Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20}}
	change(record)
	return record
}

// damagedValues returns, by description, stored values with numbers that no version has written.
func damagedValues(t *testing.T) map[string]wire.KeyValue {
	t.Helper()
	encode := func(key string, v any) wire.KeyValue {
		value, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return wire.KeyValue{Key: key, Value: value}
	}
	record := func(change func(*job.Record)) wire.KeyValue {
		return encode(job.RecordKey("j-7"), damagedRecord(change))
	}
	openTask := func(task int) wire.KeyValue {
		return record(func(r *job.Record) {
			r.Open = []job.Placement{{Task: task, Attempt: 1, Machine: machineName(0), Incarnation: 1, Zone: "a"}}
		})
	}
	group := func(first int) wire.KeyValue {
		return encode(job.RecordKey("j-7"), map[string]any{"s": damagedRecord(func(*job.Record) {}).Spec,
			"h": []any{[]any{first, "1", 1, machineName(0), 1, "a", 0}}})
	}
	page := func(index int) wire.KeyValue {
		return encode(records.PlacementPageKey(1), []any{[]any{"a"}, []any{[]any{jobName(0), index, 1, "", nil,
			[]any{[]any{1, 0, []any{[]any{"1", machineName(0), 1, 0}}}}}}})
	}
	completion := func(task int) wire.KeyValue {
		return encode(records.CompletionPageKey(1), []any{records.CompletionEntry{
			Job: jobName(0), Task: task, Attempt: 1, Machine: machineName(0), Done: true}})
	}
	return map[string]wire.KeyValue{
		"record without a description":       record(func(r *job.Record) { r.Spec = nil }),
		"null record":                        encode(job.RecordKey("j-7"), nil),
		"no tasks":                           record(func(r *job.Record) { r.Spec.Tasks = 0 }),
		"negative number of tasks":           record(func(r *job.Record) { r.Spec.Tasks = -70 }),
		"too many tasks":                     record(func(r *job.Record) { r.Spec.Tasks = 1 << 40 }),
		"placement of a negative task":       openTask(-70),
		"placement of a task out of range":   openTask(1 << 40),
		"group that starts below task 0":     group(-96),
		"group that starts beyond all tasks": group(1 << 40),
		"page of negative tasks":             page(-3),
		"page of tasks out of range":         page(1 << 40),
		"completion of a negative task":      completion(-70),
		"completion of a task out of range":  completion(1 << 40),
		"shard out of range":                 encode(job.ShardKey(jobName(0), 1<<40), map[string]any{"d": "1"}),
	}
}

// Guards against a stored value that ends or stops every controller, because a task or shard number in it is used as an
// index or a size unchecked.
func TestDamagedStoredValuesDoNotEndControllers(t *testing.T) {
	for name, damaged := range damagedValues(t) {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.version++
			damaged.Version = f.version
			f.records = append(f.records, damaged)
			f.takeOver(t)
			for range 3 {
				f.step(1, f.heartbeat(0, nil))
				f.step(1, f.heartbeat(1, nil))
				empty := f.idleHeartbeat(t, 0)
				empty.Heartbeat.Incarnation = 2
				f.step(1, empty)
				f.step(config.Second, msg.Tick{WallClock: f.now})
			}
			if got := responseStatus(f.step(1, f.heartbeat(1, nil))); got != http.StatusOK {
				t.Errorf("status %d for a heartbeat, want 200", got)
			}
		})
	}
}
