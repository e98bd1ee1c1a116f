package scenario

import (
	"fmt"
	"strings"
	"testing"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// validSubmission returns the fields of a valid submission, with all optional fields present.
func validSubmission(id string) map[string]any {
	return map[string]any{"ref": id, "docket": "c", "desk": "red", "shape": wire.Array, "rank": wire.Normal, "lots": 2,
		"cores": 1.0, "gpus": 1.0, "ram_gb": 1.0, "build": "i", "pull_gb": 1.0, "rigs": []string{"t4"}, "yard": "a",
		"one_zone": false, "spread": false, "loaners": true, "expect_s": 3.0, "bookmark_s": 0.0, "stash_s": 0.0,
		"due_s": 60.0}
}

// changedSubmission returns a valid submission with some fields changed, or removed if the new value is
// absent.
func changedSubmission(id string, change map[string]any) map[string]any {
	m := validSubmission(id)
	for name, v := range change {
		m[name] = v
		if v == absent {
			delete(m, name)
		}
	}
	return m
}

// absent is the value of a field that is to be removed.
const absent = "\x00absent"

// invalidSubmission is a change that makes a valid submission invalid, and the expected response.
type invalidSubmission struct {
	change    map[string]any
	status    int
	errorText string // that the error must contain
}

// invalidSubmissions returns, by description, submissions that lack a field, have an invalid field or can
// never run, according to the protocol's list of fields and statuses.
func invalidSubmissions() map[string]invalidSubmission {
	withField := func(status int, errorText, name string, v any) invalidSubmission {
		return invalidSubmission{map[string]any{name: v}, status, errorText}
	}
	submissions := map[string]invalidSubmission{
		"unknown shape":                  withField(400, "shape", "shape", "heap"),
		"unknown rank":                   withField(400, "rank", "rank", "urgent"),
		"no tasks":                       withField(400, "lots", "lots", 0),
		"negative number of tasks":       withField(400, "lots", "lots", -3),
		"fractional number of tasks":     withField(400, "lots", "lots", 1.5),
		"too many tasks":                 withField(400, "lots", "lots", 100_001),
		"negative cores":                 withField(400, "cores", "cores", -1.0),
		"GPUs out of range":              withField(400, "gpus", "gpus", 1e300),
		"empty list of machine types":    withField(400, "rigs", "rigs", []string{}),
		"types that aren't a list":       withField(400, "rigs", "rigs", "t4"),
		"zone that isn't text":           withField(400, "yard", "yard", 3),
		"negative deadline":              withField(400, "due_s", "due_s", -1.0),
		"unknown team":                   withField(422, "team", "desk", "green"),
		"unknown machine type":           withField(422, "type", "rigs", []string{"t5"}),
		"unknown zone":                   withField(422, "zone", "yard", "c"),
		"more cores than a machine has":  withField(422, "type", "cores", 17.0),
		"more GPUs than a machine has":   withField(422, "type", "gpus", 5.0),
		"more memory than a machine has": withField(422, "type", "ram_gb", 65.0),
		"type not offered in the zone":   {map[string]any{"rigs": []string{"only-b"}, "yard": "a"}, 422, "type"},
		"fits only a type not listed":    {map[string]any{"rigs": []string{"t4"}, "yard": nil, "cores": 20.0}, 422, "type"},
		"gang beyond the team's limit":   {map[string]any{"shape": wire.Gang, "lots": 9, "gpus": 3.0}, 422, "limit"},
		"replicas beyond the limit":      {map[string]any{"shape": wire.Service, "lots": 25}, 422, "limit"},
		"one array task beyond the limit": {map[string]any{"desk": "blue", "rigs": []string{"only-b"}, "yard": nil,
			"gpus": 9.0}, 422, "limit"},
		"spread gang with one zone": {map[string]any{"shape": wire.Gang, "spread": true}, 422, "zone"},
		"spread gang in one zone": {map[string]any{"shape": wire.Gang, "spread": true, "yard": nil,
			"one_zone": true}, 422, "zone"},
		"spread gang, type of one zone": {map[string]any{"shape": wire.Gang, "spread": true, "yard": nil,
			"rigs": []string{"only-b"}}, 422, "zone"},
	}
	for name, otherType := range map[string]any{"ref": 7, "docket": 7, "desk": 7, "shape": 7, "rank": 7, "lots": "2",
		"cores": "1", "gpus": "1", "ram_gb": "1", "build": 7, "pull_gb": "1", "one_zone": 1, "spread": "no", "loaners": "yes",
		"expect_s": "3", "bookmark_s": "0", "stash_s": true} {
		errorText := name
		if name == "ref" {
			errorText = ""
		}
		submissions[name+" absent"] = withField(400, errorText, name, absent)
		submissions[name+" null"] = withField(400, errorText, name, nil)
		submissions[name+" of another type"] = withField(400, errorText, name, otherType)
	}
	return submissions
}

// newTwoTypeSim returns a simulation with a second machine type that only one zone has.
func newTwoTypeSim() *Sim {
	s := newSim(3)
	s.env.Types = append(s.env.Types, wire.MachineType{Name: "only-b", CPUs: 32, GPUs: 16, MemoryGB: 64, CacheGB: 100,
		FetchGBPerS: 1, Price: 9, SpotPrice: 5, BootS: 2, Zones: []string{"b"}})
	s.run(3 * emulator.Second)
	return s
}

// submitRaw submits the fields of a job to a node.
func (s *Sim) submitRaw(t *testing.T, n *node, m map[string]any) msg.Respond {
	t.Helper()
	raw, err := wire.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return s.request(n, func(req uint64) msg.Input { return msg.SubmitIn{RequestID: req, WallClock: s.now, Body: raw} })
}

// A submission that can never run or lacks a field gets the expected status and an error of one line at
// every node, and nothing is stored. A submission with the ID of an accepted job gets 200, whatever else
// it contains.
func TestInvalidSubmissionsRejected(t *testing.T) {
	s := newTwoTypeSim()
	if a := s.submitRaw(t, s.nodes[0], validSubmission("j-1")); a.Status != 201 {
		t.Fatalf("valid submission: %s, want 201", formatResponse(a))
	}
	s.env.Jobs["j-1"] = &emulator.SubmittedJob{Job: wire.Job{ID: "j-1", Team: "red", Shape: wire.Array, Tasks: 2,
		GPUs: 1, Zone: "a", Spot: true}, RunTime: 200 * emulator.Second}
	before := len(s.state.List(job.KeyRoot + "job/"))
	number := 1
	for name, bad := range invalidSubmissions() {
		number++
		for _, n := range s.nodes {
			a := s.submitRaw(t, n, changedSubmission(fmt.Sprint("j-", number), bad.change))
			e, _ := a.Body.(wire.Error)
			if a.Status != bad.status || !strings.Contains(e.Error, bad.errorText) ||
				e.Error == "" || strings.Contains(e.Error, "\n") {
				t.Errorf("%s at %s: status %d, error %q, want status %d and one line with %q", name, n.name, a.Status, e.Error,
					bad.status, bad.errorText)
			}
			if _, named := bad.change["ref"]; named {
				continue // the change replaces the ID
			}
			if a := s.submitRaw(t, n, changedSubmission("j-1", bad.change)); a.Status != 200 {
				t.Errorf("%s with the ID of an accepted job at %s: %s, want 200", name, n.name, formatResponse(a))
			}
		}
	}
	if n := len(s.state.List(job.KeyRoot + "job/")); n != before {
		t.Errorf("%d jobs are stored, want %d as before the invalid submissions", n, before)
	}
}

// Submissions are accepted without the optional fields, and with all kinds of values that the protocol
// allows.
func TestValidSubmissionsAccepted(t *testing.T) {
	s := newTwoTypeSim()
	for name, change := range map[string]map[string]any{
		"optional fields absent":      {"rigs": absent, "yard": absent, "due_s": absent},
		"optional fields null":        {"rigs": nil, "yard": nil, "due_s": nil},
		"unknown field":               {"colour": map[string]any{"deep": []int{1}}},
		"integer amounts":             {"cores": 1, "gpus": 0, "expect_s": 3},
		"one unknown machine type":    {"rigs": []string{"t5", "t4"}},
		"spread array in a zone":      {"spread": true, "lots": 3},
		"spread replicas in a zone":   {"spread": true, "shape": wire.Service},
		"spread gang over both zones": {"spread": true, "shape": wire.Gang, "yard": nil},
		"spread gang of one task":     {"spread": true, "shape": wire.Gang, "lots": 1},
		"type of the other zone":      {"rigs": []string{"only-b"}, "yard": "b", "gpus": 16.0},
		"array beyond the limit":      {"lots": 1000},
		"service with an estimate": {
			"shape": wire.Service, "expect_s": 9.0},
	} {
		id := fmt.Sprint("j-", len(s.state.List(job.KeyRoot+"job/")))
		if a := s.submitRaw(t, s.nodes[1], changedSubmission(id, change)); a.Status != 201 {
			e, _ := a.Body.(wire.Error)
			t.Errorf("%s: %s%s, want 201", name, formatResponse(a), e.Error)
		}
	}
}
