package wire

import (
	"fmt"
	"strings"
	"testing"

	"coralhub/internal/golden"
)

// Renaming Go identifiers must not change the names and constants of the protocol.
func TestNamesOnTheWire(t *testing.T) {
	golden.Check(t, "messages.txt", golden.Names("msgpack", Job{}, JobStatus{}, Error{}, TaskStatus{}, Heartbeat{},
		Command{}, HeartbeatResponse{}, Redirect{}, CommandRequest{},
		MachineType{}, Catalog{}, RentalRequest{}, MachineNames{}, Machine{}, MachineList{}, KeyValue{}, KeyValuePage{},
		Condition{}, Change{}, Transaction{}, TransactionResult{},
		LeaseRequest{}, LeaseGrant{}, WatchResponse{}))
	words := []any{PathJobs, PathHeartbeat, PathReady, PathCommands, PathStatus, PathCatalog, PathHosts, PathRelease,
		PathStore, PathCommit, PathLeases, PathChanges,
		CancelVerb, ExtendVerb, ContentType, MaxBodyBytes, MaxMachinesPerRental, MaxMachinesPerRelease, MaxMachinesPerPage,
		MaxKeysPerPage, MaxTasksPerJob, MaxConditionsPerChange,
		Array, Gang, Service, Production, High, Normal, Low, Queued, Running, Done, Cancelled, Fetching, Waiting, Saving,
		Exited,
		CauseStopped, CausePeerStopped, CauseGangIncomplete, CauseError, CauseNoCapacity, CauseBusy, CauseUnknown,
		CommandStart, CommandStop, CommandForget,
		MachineBooting, MachineFailed, NoSuchLease}
	golden.Check(t, "words.txt", strings.ReplaceAll(strings.Trim(fmt.Sprintln(words...), "\n"), " ", "\n")+"\n")
}

// The encoding of messages must not change. Each message has a distinguishable value in every field.
func TestBytesOnTheWire(t *testing.T) {
	due, notice, grace, done, running := 900.5, 7.5, 10.5, 3, 13
	raw := []byte{0x81, 0xa1, 0x61, 0x01}
	for i, v := range []any{
		Job{ID: "j-1", Class: "c", Team: "t", Shape: Gang, Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64,
			Image: "img", ImageGB: 6.2, Types: []string{"g8"},
			Zone: "a", OneZone: true, Spread: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &due,
			Dependencies: []string{"j-2"}},
		JobStatus{ID: "j-1", Status: Running, Done: &done, Running: &running},
		Heartbeat{Machine: "m-1", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Incarnation: 2, Sequence: 88,
			FencingToken: 41, NoticeS: &notice,
			Tasks: []TaskStatus{{Task: "j-1/3", Attempt: 5, State: Exited, Cause: CauseStopped, Saved: true}}},
		HeartbeatResponse{FencingToken: 41,
			Commands: []Command{{Verb: CommandStop, Task: "j-1/1", Attempt: 6, GraceS: &grace}}},
		Redirect{Node: "n1"},
		CommandRequest{FencingToken: 41, Incarnation: 2,
			Commands: []Command{{Verb: CommandStart, Task: "j-1/1", Attempt: 6}}},
		RentalRequest{Name: "r-1", Type: "g8", Zone: "a", Spot: true, Count: 12},
		MachineNames{Machines: []string{"m-1"}},
		Machine{Name: "m-1", Addr: "x", Type: "g8", Zone: "a", Spot: true, State: Running, AgeS: 61.5},
		KeyValue{Key: "a/b", Value: raw, Version: 412, Lease: 7},
		Transaction{Conditions: []Condition{{Key: "a/b", Version: 5}},
			Changes: []Change{{Put: "a/b", Value: raw, Lease: 7}, {Delete: "c/d", Version: 8}}},
		TransactionResult{Revision: 431, FailedKeys: []string{"a/b"}, Error: NoSuchLease},
		LeaseRequest{TTLms: 5000}, LeaseGrant{Lease: 7},
	} {
		b, err := Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		golden.CheckBytes(t, fmt.Sprintf("bytes/%02d.hex", i), b)
	}
}
