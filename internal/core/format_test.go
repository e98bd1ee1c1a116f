package core

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/machinecache"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/wire"
)

// production returns a value that the version in production has written.
func production(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/production/" + name + ".hex")
	if err != nil {
		t.Fatal(err)
	}
	value, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// productionRecord is the record in testdata/production.
func productionRecord() job.Record {
	deadline := 900.0
	spec := &wire.Job{ID: "j-000412", Class: "train", Team: "red", Shape: wire.Gang, Priority: wire.High, Tasks: 40, CPUs: 8, GPUs: 1,
		MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240,
		CheckpointS: 30, SaveS: 4, DeadlineS: &deadline}
	return job.Record{Spec: spec, CancelRequested: true, CreatedAt: 1764600000000000, LastAttempt: 3, DoneTasks: 2, Shard: job.Shard{DoneSet: "5",
		Open: []job.Placement{{Task: 1, Attempt: 2, Machine: "m-000231", Incarnation: 1, Zone: "a"},
			{Task: 3, Attempt: 2, Machine: "m-000231", Incarnation: 1, Zone: "a"}, {Task: 31, Attempt: 3, Machine: "m-000240", Incarnation: 4, Zone: "b"}}}}
}

// productionShard is the shard in testdata/production.
var productionShard = job.Shard{DoneSet: "1", Open: []job.Placement{{Task: 33, Attempt: 3, Machine: "m-000240", Incarnation: 4, Zone: "b"}}}

// This version decodes what the version in production has written.
func TestDecodesProductionValues(t *testing.T) {
	var record, final job.Record
	var shard job.Shard
	if err := job.DecodeRecord(production(t, "record"), &record); err != nil || !reflect.DeepEqual(record, productionRecord()) {
		t.Errorf("%v %+v", err, record)
	}
	if err := job.DecodeRecord(production(t, "final"), &final); err != nil || !reflect.DeepEqual(final, job.Record{Phase: job.Done, DoneTasks: 40}) {
		t.Errorf("%v %+v", err, final)
	}
	if err := job.DecodeShard(production(t, "part"), &shard); err != nil || !reflect.DeepEqual(shard, productionShard) {
		t.Errorf("%v %+v", err, shard)
	}
	completions, err := records.DecodeCompletionPage(production(t, "ended"))
	if err != nil || !reflect.DeepEqual(completions, []records.CompletionEntry{
		{Job: "j-000412", Task: 33, Attempt: 3, Machine: "m-000240", Done: true}, {Job: "j-7", Attempt: 1, Machine: "m-1"}}) {
		t.Errorf("%v %+v", err, completions)
	}
	var machines []machinecache.Machine
	if err := job.Decode(production(t, "hints"), &machines); err != nil || !reflect.DeepEqual(machines, []machinecache.Machine{
		{Name: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Images: []string{"img-07", "img-08"}}}) {
		t.Errorf("%v %+v", err, machines)
	}
	var heartbeats []relay.RelayedHeartbeat
	notice := 7.5
	if err := job.Decode(production(t, "mail"), &heartbeats); err != nil || !reflect.DeepEqual(heartbeats, []relay.RelayedHeartbeat{{Machine: "m-000231", Incarnation: 2,
		Sequence: 88, FencingToken: 41, NoticeS: &notice, Tasks: []relay.RelayedTask{{Task: "j-000412/3", Attempt: 2, State: wire.Exited, Cause: wire.CauseStopped, Saved: true}}}}) {
		t.Errorf("%v %+v", err, heartbeats)
	}
	var lease election.LeaseRecord
	if err := job.Decode(production(t, "claim"), &lease); err != nil || lease != (election.LeaseRecord{Node: "n1", Nonce: 7}) {
		t.Errorf("%v %+v", err, lease)
	}
}

// In the first format this version encodes the same bytes as the version in production, so that that one
// decodes them without loss.
func TestEncodesProductionBytes(t *testing.T) {
	record := productionRecord()
	if got, err := job.EncodeRecord(&record, job.FormatPlacements); err != nil || string(got) != string(production(t, "record")) {
		t.Errorf("%v %x", err, got)
	}
	shard := productionShard
	if got, err := job.EncodeShard(&shard, job.FormatPlacements); err != nil || string(got) != string(production(t, "part")) {
		t.Errorf("%v %x", err, got)
	}
	final := job.Record{Phase: job.Done, DoneTasks: 40}
	for _, f := range []job.Format{job.FormatPlacements, job.FormatGrouped} {
		if got, err := job.EncodeRecord(&final, f); err != nil || string(got) != string(production(t, "final")) {
			t.Errorf("%v %x", err, got)
		}
	}
}

// FormatGrouped keeps all of a record, in fewer bytes.
func TestGroupedFormatIsSmaller(t *testing.T) {
	record := productionRecord()
	record.ShardsOnly = true
	record.Spec.Needs = []string{"j-1", "j-2"}
	value, err := job.EncodeRecord(&record, job.FormatGrouped)
	if err != nil {
		t.Fatal(err)
	}
	var got job.Record
	if err := job.DecodeRecord(value, &got); err != nil || !reflect.DeepEqual(got, record) {
		t.Fatalf("%v %+v", err, got)
	}
	old, err := job.EncodeRecord(&record, job.FormatPlacements)
	if err != nil || wire.JSONSize(value) >= wire.JSONSize(old) {
		t.Fatalf("%v: %d bytes grouped, %d before", err, wire.JSONSize(value), wire.JSONSize(old))
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(value, &fields); err != nil || fields["o"] != nil || fields["g"] == nil {
		t.Fatalf("%v %v", err, fields)
	}
}

// The shard of a job with each of its tasks on a machine of its own stays below 2 KiB, and so does the
// record of such a gang with a spec of usual length.
func TestShardFitsSmallValues(t *testing.T) {
	record := productionRecord()
	record.Open, record.DoneSet = nil, ""
	for i := range job.TasksPerShard {
		record.Open = append(record.Open, job.Placement{Task: i, Attempt: 12, Machine: "m-000231"[:7] + string(rune('A'+i)), Incarnation: 12, Zone: "portland-rack"})
	}
	for _, f := range []job.Format{job.FormatPlacements, job.FormatGrouped} {
		value, err := job.EncodeRecord(&record, f)
		if encoding := records.NewEncoding(&config.State{ValueKB: 2, TxnOps: 8}); err != nil || !encoding.Fits(value) {
			t.Errorf("format %d: %v, %d bytes", f, err, wire.JSONSize(value))
		}
	}
}

// A node that finds a format that it doesn't know serves nobody, and logs why.
func TestNewerFormatStopsServing(t *testing.T) {
	cfg := &config.Config{Settings: config.Defaults()}
	cfg.Node = "n1"
	cfg.Cluster.State = config.State{RPS: 10, WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	c := New(cfg, 1)
	value, err := job.Encode(formatMark{job.NewestFormat + 1})
	if err != nil {
		t.Fatal(err)
	}
	stopped, logged := false, false
	for _, e := range c.Step(1, msg.Snapshot{Items: []wire.KeyValue{{Key: formatKey, Value: value, Version: 3}}, Revision: 3}) {
		switch x := e.(type) {
		case msg.StopServing:
			stopped = true
		case msg.Log:
			logged = logged || strings.Contains(x.Message, "newer than this version")
		}
	}
	if !stopped || !logged {
		t.Fatalf("stopped %v, logged %v", stopped, logged)
	}
	for _, in := range []msg.Input{msg.PollIn{RequestID: 1, JobID: "j-1"}, msg.CancelIn{RequestID: 1, JobID: "j-1"}, msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m", Incarnation: 1}}} {
		effects := c.Step(2, in)
		if len(effects) != 1 {
			t.Fatalf("%+v", effects)
		}
		if response, ok := effects[0].(msg.Respond); !ok || response.Status != 503 || response.RetryAfter == 0 {
			t.Errorf("%T: %+v", in, effects[0])
		}
	}
	for range 100 {
		for _, e := range c.Step(10_000_000, msg.Tick{}) {
			switch e.(type) {
			case msg.Commit, msg.GrantLease:
				t.Fatalf("the node still requests %+v", e)
			}
		}
	}
}
