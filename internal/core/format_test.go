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

// productionValue returns a recorded value that the version in production has written.
func productionValue(t *testing.T, name string) []byte {
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
	spec := &wire.Job{ID: "j-000412", Class: "train", Team: "red", Shape: wire.Gang, Priority: wire.High, Tasks: 40,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true,
		Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &deadline}
	return job.Record{Spec: spec, CancelRequested: true, CreatedAt: 1764600000000000, LastAttempt: 3, DoneTasks: 2,
		Shard: job.Shard{DoneSet: "5", Open: []job.Placement{
			{Task: 1, Attempt: 2, Machine: "m-000231", Incarnation: 1, Zone: "a"},
			{Task: 3, Attempt: 2, Machine: "m-000231", Incarnation: 1, Zone: "a"},
			{Task: 31, Attempt: 3, Machine: "m-000240", Incarnation: 4, Zone: "b"}}}}
}

// productionShard is the shard in testdata/production.
var productionShard = job.Shard{DoneSet: "1", Open: []job.Placement{
	{Task: 33, Attempt: 3, Machine: "m-000240", Incarnation: 4, Zone: "b"}}}

// Values that the version in production has written can be decoded.
func TestDecodesProductionValues(t *testing.T) {
	var record, final job.Record
	var shard job.Shard
	if err := job.DecodeRecord(productionValue(t, "record"), &record); err != nil ||
		!reflect.DeepEqual(record, productionRecord()) {
		t.Errorf("record: error %v, decoded %+v", err, record)
	}
	if err := job.DecodeRecord(productionValue(t, "final"), &final); err != nil ||
		!reflect.DeepEqual(final, job.Record{Phase: job.Done, DoneTasks: 40}) {
		t.Errorf("final record: error %v, decoded %+v", err, final)
	}
	if err := job.DecodeShard(productionValue(t, "part"), &shard); err != nil ||
		!reflect.DeepEqual(shard, productionShard) {
		t.Errorf("shard: error %v, decoded %+v", err, shard)
	}
	completions, err := records.DecodeCompletionPage(productionValue(t, "ended"))
	if err != nil || !reflect.DeepEqual(completions, []records.CompletionEntry{
		{Job: "j-000412", Task: 33, Attempt: 3, Machine: "m-000240", Done: true},
		{Job: "j-7", Attempt: 1, Machine: "m-1"}}) {
		t.Errorf("completion page: error %v, decoded %+v", err, completions)
	}
	var machines []machinecache.Machine
	if err := job.Decode(productionValue(t, "hints"), &machines); err != nil ||
		!reflect.DeepEqual(machines, []machinecache.Machine{{Name: "m-000231", Addr: "10.1.0.232:9000", Type: "g8",
			Zone: "a", Spot: true, Images: []string{"img-07", "img-08"}}}) {
		t.Errorf("machines: error %v, decoded %+v", err, machines)
	}
	var heartbeats []relay.RelayedHeartbeat
	notice := 7.5
	if err := job.Decode(productionValue(t, "mail"), &heartbeats); err != nil ||
		!reflect.DeepEqual(heartbeats, []relay.RelayedHeartbeat{{Machine: "m-000231", Incarnation: 2, Sequence: 88,
			FencingToken: 41, NoticeS: &notice, Tasks: []relay.RelayedTask{
				{Task: "j-000412/3", Attempt: 2, State: wire.Exited, Cause: wire.CauseStopped, Saved: true}}}}) {
		t.Errorf("relayed heartbeats: error %v, decoded %+v", err, heartbeats)
	}
	var lease election.LeaseRecord
	if err := job.Decode(productionValue(t, "claim"), &lease); err != nil ||
		lease != (election.LeaseRecord{Node: "n1", Nonce: 7}) {
		t.Errorf("leader key: error %v, decoded %+v", err, lease)
	}
}

// In the first format, this version encodes the same bytes as the version in production, so that the latter
// decodes them without loss.
func TestEncodesProductionBytes(t *testing.T) {
	record := productionRecord()
	if got, err := job.EncodeRecord(&record, job.FormatPlacements); err != nil ||
		string(got) != string(productionValue(t, "record")) {
		t.Errorf("record: error %v, encoded %x", err, got)
	}
	shard := productionShard
	if got, err := job.EncodeShard(&shard, job.FormatPlacements); err != nil ||
		string(got) != string(productionValue(t, "part")) {
		t.Errorf("shard: error %v, encoded %x", err, got)
	}
	final := job.Record{Phase: job.Done, DoneTasks: 40}
	for _, f := range []job.Format{job.FormatPlacements, job.FormatGrouped} {
		if got, err := job.EncodeRecord(&final, f); err != nil || string(got) != string(productionValue(t, "final")) {
			t.Errorf("final record in format %d: error %v, encoded %x", f, err, got)
		}
	}
}

// FormatGrouped preserves all of a record, in fewer bytes.
func TestGroupedFormatIsSmaller(t *testing.T) {
	record := productionRecord()
	record.ShardsOnly = true
	record.Spec.Dependencies = []string{"j-1", "j-2"}
	value, err := job.EncodeRecord(&record, job.FormatGrouped)
	if err != nil {
		t.Fatal(err)
	}
	var got job.Record
	if err := job.DecodeRecord(value, &got); err != nil || !reflect.DeepEqual(got, record) {
		t.Fatalf("error %v, decoded %+v", err, got)
	}
	old, err := job.EncodeRecord(&record, job.FormatPlacements)
	if err != nil || wire.JSONSize(value) >= wire.JSONSize(old) {
		t.Fatalf("error %v, %d bytes in FormatGrouped, %d in FormatPlacements", err, wire.JSONSize(value), wire.JSONSize(old))
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(value, &fields); err != nil || fields["o"] != nil || fields["g"] == nil {
		t.Fatalf("error %v, fields %v, want g and not o", err, fields)
	}
}

// The encoded shard of a job whose tasks are all on different machines is smaller than 2 KiB, and so is the
// record of such a gang with a spec of usual length.
func TestShardFitsSmallValues(t *testing.T) {
	record := productionRecord()
	record.Open, record.DoneSet = nil, ""
	for i := range job.TasksPerShard {
		record.Open = append(record.Open, job.Placement{Task: i, Attempt: 12, Machine: "m-000231"[:7] + string(rune('A'+i)),
			Incarnation: 12, Zone: "portland-rack"})
	}
	for _, f := range []job.Format{job.FormatPlacements, job.FormatGrouped} {
		value, err := job.EncodeRecord(&record, f)
		if encoding := records.NewEncoding(&config.State{ValueKB: 2, TxnOps: 8}); err != nil || !encoding.Fits(value) {
			t.Errorf("format %d: error %v, %d bytes exceed the limit", f, err, wire.JSONSize(value))
		}
	}
}

// A node that reads a newer format than it knows stops serving, logs the reason, rejects all requests with a
// 503, and requests no more transactions and leases.
func TestNewerFormatStopsServing(t *testing.T) {
	cfg := &config.Config{Settings: config.Defaults()}
	cfg.Node = "n1"
	cfg.Cluster.State = config.State{RPS: 10, WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	c := New(cfg, 1)
	value, err := job.Encode(storedFormat{job.NewestFormat + 1})
	if err != nil {
		t.Fatal(err)
	}
	stopped, logged := false, false
	for _, e := range c.Step(1, msg.Snapshot{
		Items: []wire.KeyValue{{Key: formatKey, Value: value, Version: 3}}, Revision: 3}) {
		switch x := e.(type) {
		case msg.StopServing:
			stopped = true
		case msg.Log:
			logged = logged || strings.Contains(x.Message, "newer than this version")
		}
	}
	if !stopped || !logged {
		t.Fatalf("stopped serving: %v, logged the reason: %v, want both", stopped, logged)
	}
	for _, in := range []msg.Input{
		msg.PollIn{RequestID: 1, JobID: "j-1"},
		msg.CancelIn{RequestID: 1, JobID: "j-1"},
		msg.HeartbeatIn{RequestID: 1, Heartbeat: wire.Heartbeat{Machine: "m", Incarnation: 1}},
	} {
		effects := c.Step(2, in)
		if len(effects) != 1 {
			t.Fatalf("%T: %d effects, want 1: %+v", in, len(effects), effects)
		}
		if response, ok := effects[0].(msg.Respond); !ok || response.Status != 503 || response.RetryAfter == 0 {
			t.Errorf("%T: %+v, want a response 503 with RetryAfter", in, effects[0])
		}
	}
	for range 100 {
		for _, e := range c.Step(10_000_000, msg.Tick{}) {
			switch e.(type) {
			case msg.Commit, msg.GrantLease:
				t.Fatalf("a node that has stopped serving requests %+v", e)
			}
		}
	}
}
