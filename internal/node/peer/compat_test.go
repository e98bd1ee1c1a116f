package peer

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// During an upgrade, nodes of two versions run side by side. gob matches fields by name and net/rpc matches
// methods by name. Calls of renamed methods fail, and renamed fields are lost without an error.
// These are the names used by the versions in production, as they were first released.
type (
	oldEvent struct {
		Key     string
		Value   []byte
		Version uint64
	}
	oldReport       struct{ Body []byte }
	oldReportAnswer struct {
		Body []byte
		Busy bool
	}
	oldHeard struct {
		Machine      string
		Session, Seq uint64
	}
	oldBeat struct {
		Node     string
		Revision uint64
		Heard    []oldHeard
	}
	oldBeatAnswer struct {
		Wanted  []string
		StandIn int64
	}
	oldStatus struct {
		StateOK bool
		Says    bool
		Accepts float64
	}
)

// recode encodes a value as one version and decodes it as another.
func recode(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		t.Fatal(err)
	}
}

func TestMessageCompatibility(t *testing.T) {
	for _, x := range []struct{ old, now any }{
		{&oldEvent{"k", []byte("v"), 3}, &Event{Key: "k", Value: []byte("v"), Version: 3}},
		{&oldReport{[]byte("b")}, &Report{Body: []byte("b")}},
		{&oldReportAnswer{[]byte("b"), true}, &ReportAnswer{Body: []byte("b"), Busy: true}},
		{
			&oldBeat{"n1", 7, []oldHeard{{"m-1", 2, 3}, {"m-2", 4, 5}}},
			&Beat{Node: "n1", Revision: 7, Heard: []Heard{
				{Machine: "m-1", Session: 2, Seq: 3},
				{Machine: "m-2", Session: 4, Seq: 5},
			}},
		},
		{&oldBeatAnswer{[]string{"m-1"}, 9}, &BeatAnswer{Wanted: []string{"m-1"}, StandIn: 9}},
		{&oldStatus{true, true, 1.5}, &Status{StateOK: true, Says: true, Accepts: 1.5}},
	} {
		read := reflect.New(reflect.TypeOf(x.now).Elem()).Interface()
		recode(t, x.old, read)
		if !reflect.DeepEqual(read, x.now) {
			t.Errorf("%+v of an older version is decoded as %+v, want %+v", x.old, read, x.now)
		}
		read = reflect.New(reflect.TypeOf(x.old).Elem()).Interface()
		recode(t, x.now, read)
		if !reflect.DeepEqual(read, x.old) {
			t.Errorf("an older version decodes %+v as %+v, want %+v", x.now, read, x.old)
		}
	}
}

type fixedHandler struct{}

func (fixedHandler) Heartbeat(r wire.Heartbeat) msg.Respond {
	return msg.Respond{Status: 200, Body: wire.HeartbeatResponse{FencingToken: r.FencingToken}}
}

func (fixedHandler) HeartbeatBatch(b msg.HeartbeatBatchIn) msg.Respond {
	return msg.Respond{Body: msg.HeartbeatBatchResponse{
		ResendMachines: []string{b.Node, b.Acks[0].Machine},
		Delegation:     int64(b.Revision),
	}}
}

// Nodes of older versions call the methods by their released names.
func TestMethodCompatibility(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	posted := make(chan msg.Input, 1)
	post := func(in msg.Input) { posted <- in }
	ownStatus := func() Status { return Status{StateOK: true, Says: true, Accepts: 2} }
	server := NewServer(post, fixedHandler{}, ownStatus)
	go func() { _ = server.Serve(l) }()
	client, err := rpc.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })

	var status oldStatus
	if err := client.Call("Peer.Status", &struct{}{}, &status); err != nil || status != (oldStatus{true, true, 2}) {
		t.Errorf("Peer.Status: %+v, error %v", status, err)
	}
	var beat oldBeatAnswer
	err = client.Call("Peer.Beat", &oldBeat{"n1", 7, []oldHeard{{"m-1", 2, 3}}}, &beat)
	if err != nil || !reflect.DeepEqual(beat, oldBeatAnswer{[]string{"n1", "m-1"}, 7}) {
		t.Errorf("Peer.Beat: %+v, error %v", beat, err)
	}
	body, err := wire.Marshal(&wire.Heartbeat{Machine: "m-1", FencingToken: 41})
	if err != nil {
		t.Fatal(err)
	}
	var report oldReportAnswer
	var answer wire.HeartbeatResponse
	err = client.Call("Peer.Report", &oldReport{body}, &report)
	if err != nil || wire.Unmarshal(report.Body, &answer) != nil || answer.FencingToken != 41 {
		t.Errorf("Peer.Report: %+v with body %+v, error %v", report, answer, err)
	}
	if err := client.Call("Peer.Tell", &oldEvent{"k", []byte("v"), 3}, &struct{}{}); err != nil {
		t.Errorf("Peer.Tell: %v", err)
	}
	select {
	case in := <-posted:
		want := msg.PeerUpdate{Change: wire.Change{Put: "k", Value: []byte("v"), Version: 3}}
		if !reflect.DeepEqual(in, want) {
			t.Errorf("Peer.Tell posted %+v, want %+v", in, want)
		}
	case <-time.After(10 * time.Second):
		t.Error("Peer.Tell posted nothing within 10 s")
	}
}
