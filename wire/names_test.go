package wire

import (
	"fmt"
	"strings"
	"testing"

	"coralhub/internal/golden"
)

// The names of the protocol don't change with those of the code.
func TestNamesOnTheWire(t *testing.T) {
	golden.Check(t, "messages.txt", golden.Names("msgpack", Job{}, JobStatus{}, Error{}, TaskReport{}, Report{}, Order{}, ReportAnswer{}, Redirect{}, Commands{},
		MachineType{}, Catalog{}, Rent{}, MachineNames{}, Machine{}, MachineList{}, Item{}, Items{}, Guard{}, Change{}, Commit{}, CommitAnswer{},
		LeaseRequest{}, LeaseAnswer{}, Changes{}))
	words := []any{PathJobs, PathReport, PathReady, PathCommands, PathStatus, PathCatalog, PathHosts, PathRelease, PathStore, PathCommit, PathLeases, PathChanges,
		CancelVerb, ExtendVerb, ContentType, MaxBody, MaxRent, MaxRelease, MaxList, MaxRows, MaxTasks, GuardFactor,
		Array, Gang, Service, Production, High, Normal, Low, Queued, Running, Done, Cancelled, Fetching, Waiting, Saving, Exited,
		CauseStopped, CausePeers, CauseIncomplete, CauseError, CauseNoRoom, CauseBusy, CauseUnknown, Start, Stop, Forget,
		MachineBooting, MachineFailed, NoSuchLease}
	golden.Check(t, "words.txt", strings.ReplaceAll(strings.Trim(fmt.Sprintln(words...), "\n"), " ", "\n")+"\n")
}

// One message of each kind, with a value of its own in every field.
func TestBytesOnTheWire(t *testing.T) {
	due, notice, grace, done, running := 900.5, 7.5, 10.5, 3, 13
	raw := []byte{0x81, 0xa1, 0x61, 0x01}
	for i, v := range []any{
		Job{ID: "j-1", Class: "c", Team: "t", Shape: Gang, Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img", ImageGB: 6.2, Types: []string{"g8"},
			Zone: "a", OneZone: true, Spread: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &due, Needs: []string{"j-2"}},
		JobStatus{ID: "j-1", Status: Running, Done: &done, Running: &running},
		Report{Machine: "m-1", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 88, Token: 41, NoticeS: &notice,
			Tasks: []TaskReport{{Task: "j-1/3", Attempt: 5, State: Exited, Cause: CauseStopped, Saved: true}}},
		ReportAnswer{Token: 41, Orders: []Order{{Verb: Stop, Task: "j-1/1", Attempt: 6, GraceS: &grace}}},
		Redirect{Node: "n1"},
		Commands{Token: 41, Session: 2, Orders: []Order{{Verb: Start, Task: "j-1/1", Attempt: 6}}},
		Rent{Name: "r-1", Type: "g8", Zone: "a", Spot: true, Count: 12},
		MachineNames{Machines: []string{"m-1"}},
		Machine{Name: "m-1", Addr: "x", Type: "g8", Zone: "a", Spot: true, State: Running, AgeS: 61.5},
		Item{Key: "a/b", Value: raw, Version: 412, Lease: 7},
		Commit{Guards: []Guard{{Key: "a/b", Version: 5}}, Changes: []Change{{Put: "a/b", Value: raw, Lease: 7}, {Delete: "c/d", Version: 8}}},
		CommitAnswer{Revision: 431, Failed: []string{"a/b"}, Error: NoSuchLease},
		LeaseRequest{TTLms: 5000}, LeaseAnswer{Lease: 7},
	} {
		b, err := Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		golden.CheckBytes(t, fmt.Sprintf("bytes/%02d.hex", i), b)
	}
}
