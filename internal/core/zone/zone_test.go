package zone

import (
	"reflect"
	"testing"

	"coralhub/wire"
)

func room(name string, gpus float64, images ...string) *Room {
	m := New(name, "", "t", "a", false, 0)
	for _, i := range images {
		m.Images[i] = true
	}
	return &Room{Machine: m, Free: Res{CPUs: 16, GPUs: gpus, MemoryGB: 64}}
}

func request(gpus float64, count int, whole bool) *Request {
	return &Request{Job: "j-9", Needs: Res{CPUs: 1, GPUs: gpus, MemoryGB: 1}, Count: count, Whole: whole,
		Types: map[string]bool{"t": true}, Image: "i"}
}

func TestPlanTakesMostRoomFirst(t *testing.T) {
	rooms := []*Room{room("m1", 2), room("m2", 4), room("m3", 3)}
	bid := Plan(1, "a", rooms, request(1, 3, false))
	if bid == nil || !reflect.DeepEqual(bid.Machines, []string{"m2", "m3", "m2"}) {
		t.Fatalf("%+v", bid)
	}
	if Plan(1, "b", rooms, request(1, 1, false)) != nil {
		t.Fatal("a bid of a zone without machines")
	}
	if Plan(1, "a", rooms, request(4, 2, true)) != nil {
		t.Fatal("half a gang was placed")
	}
}

func TestPlanPrefersWarmMachines(t *testing.T) {
	bid := Plan(1, "a", []*Room{room("m1", 4), room("m2", 1, "i")}, request(1, 1, false))
	if bid.Machines[0] != "m2" || bid.Warm != 1 {
		t.Fatalf("%+v", bid)
	}
}

// The example of the paper: with 4, 5 and 12 to be had, 10 are found by
// stopping the largest alone.
func TestPreemptionKeepsTheLargest(t *testing.T) {
	rooms := []*Room{room("m1", 0)}
	for i, gpus := range []float64{4, 5, 12} {
		rooms[0].Victims = append(rooms[0].Victims, Victim{Job: string(rune('a' + i)), Level: 1, Since: Micros(i),
			Takes: map[string]Res{"m1": {GPUs: gpus}}})
	}
	q := request(10, 1, true)
	q.May = func(*Victim) bool { return true }
	bid := Plan(1, "a", rooms, q)
	if bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "c" {
		t.Fatalf("%+v", bid)
	}
}

func TestPreemptionTakesLowestPriorityFirst(t *testing.T) {
	r := room("m1", 0)
	r.Victims = []Victim{
		{Job: "normal", Level: 2, Since: 1, Takes: map[string]Res{"m1": {GPUs: 1}}},
		{Job: "young", Level: 1, Since: 9, Takes: map[string]Res{"m1": {GPUs: 1}}},
		{Job: "old", Level: 1, Since: 2, Takes: map[string]Res{"m1": {GPUs: 1}}},
	}
	q := request(1, 1, false)
	q.May = func(v *Victim) bool { return v.Level < 2 }
	bid := Plan(1, "a", []*Room{r}, q)
	if bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "old" {
		t.Fatalf("%+v", bid)
	}
	if b := (&Bid{Machines: []string{"m"}, Victims: bid.Victims}); b.Better(&Bid{Machines: []string{"n"}}) {
		t.Error("preemption is not scored last")
	}
}

// A report that comes late changes nothing, and a start that was sent without
// an answer keeps its worker unsettled until a higher token was seen.
func TestIngest(t *testing.T) {
	m := New("m1", "", "t", "a", false, 0)
	report := func(session, seq, token uint64) *wire.Report {
		return &wire.Report{Machine: "m1", Type: "t", Zone: "a", Session: session, Seq: seq, Token: token}
	}
	if !m.Ingest(1, report(2, 5, 10), true) || m.Ingest(2, report(2, 5, 10), true) || m.Ingest(2, report(1, 9, 10), true) {
		t.Fatal("order of reports")
	}
	if !m.Settled() {
		t.Fatal("not settled with nothing on its way")
	}
	m.SentDirect(3, 1, 10, true)
	m.DirectOver(1, true)
	m.Ingest(4, report(2, 6, 10), true)
	if m.Settled() {
		t.Fatal("settled though a start may still arrive")
	}
	m.Ingest(5, report(2, 7, 11), true)
	if !m.Settled() {
		t.Fatal("not settled though the start is void")
	}
	m.SentByReply()
	m.Ingest(6, report(2, 8, 11), false)
	if m.Settled() {
		t.Fatal("the answer to a direct call says nothing about the answer to a report")
	}
	m.Ingest(7, report(2, 9, 11), true)
	if !m.Settled() {
		t.Fatal("not settled after the next report")
	}
}

// Work that can't save is stopped last, and then what has run for the shortest
// time: the paper's longest running first supposes cheap checkpoints.
func TestPreemptionTakesWhatLosesLeast(t *testing.T) {
	r := room("m1", 0)
	r.Victims = []Victim{
		{Job: "long", Level: 1, Since: 1, Loss: 90, Takes: map[string]Res{"m1": {GPUs: 1}}},
		{Job: "short", Level: 1, Since: 80, Loss: 11, Takes: map[string]Res{"m1": {GPUs: 1}}},
	}
	q := request(1, 1, false)
	q.May = func(*Victim) bool { return true }
	if bid := Plan(91, "a", []*Room{r}, q); bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "short" {
		t.Fatalf("%+v", bid)
	}
	r.Victims = append(r.Victims, Victim{Job: "saves", Level: 1, Since: 1, Takes: map[string]Res{"m1": {GPUs: 1}}})
	if bid := Plan(91, "a", []*Room{r}, q); bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "saves" {
		t.Fatalf("%+v", bid)
	}
}
