package wire

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"testing"
)

func submission() map[string]any {
	return map[string]any{"ref": "j-000412", "docket": "train", "desk": "vision", "shape": "group", "rank": "high",
		"lots": 16, "cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "build": "img-07", "pull_gb": 6.2, "rigs": []string{"g8"},
		"yard": nil, "one_zone": true, "spread": false, "loaners": true, "expect_s": 240.0, "bookmark_s": 30.0,
		"stash_s": 4.0, "due_s": 900.0}
}

func manyIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "j-" + strconv.Itoa(i)
	}
	return ids
}

// A dependency that is listed twice counts once.
func TestDuplicateDependencies(t *testing.T) {
	m := submission()
	m["awaits"] = []string{"j-7", "j-8", "j-7"}
	raw, err := Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	j, err := ParseJob(raw)
	if err != nil || len(j.Dependencies) != 2 {
		t.Fatal(j.Dependencies, err)
	}
}

func TestParseJob(t *testing.T) {
	deep := any(1)
	for range 5000 {
		deep = []any{deep}
	}
	nested := any(1)
	for range 50 {
		nested = []any{nested}
	}
	tests := []struct {
		name, field string
		value       any
		ok          bool
	}{
		{"valid", "", nil, true},
		{"unknown field", "colour", "red", true},
		{"unknown field, nested", "colour", nested, true},
		{"unknown field, nested too deep", "colour", deep, false},
		{"whole number as amount", "cores", 8, true},
		{"no deadline", "due_s", nil, true},
		{"null list", "rigs", nil, true},
		{"missing field", "desk", nil, false},
		{"wrong type", "lots", "16", false},
		{"fraction of a task", "lots", 1.5, false},
		{"no tasks", "lots", 0, false},
		{"too many tasks", "lots", MaxTasksPerJob + 1, false},
		{"most tasks", "lots", MaxTasksPerJob, true},
		{"negative", "gpus", -1.0, false},
		{"not a number", "ram_gb", math.NaN(), false},
		{"infinite", "ram_gb", math.Inf(1), false},
		{"binary text", "build", []byte("img"), false},
		{"bad id", "ref", "k-1", false},
		{"id with a path", "ref", "j-1/../2", false},
		{"long id", "ref", "j-" + strings.Repeat("1", 300), false},
		{"long text", "docket", strings.Repeat("x", 1000), false},
		{"unknown shape", "shape", "array", false},
		{"unknown priority", "rank", "urgent", false},
		{"boolean as number", "spread", 1, false},
		{"types not a list", "rigs", "g8", false},
		{"number in types", "rigs", []any{1}, false},
		{"nested too deep in a known field", "desk", deep, false},
		{"deadline as text", "due_s", "soon", false},
		{"dependencies", "awaits", []string{"j-1", "j-2"}, true},
		{"duplicate dependency", "awaits", []string{"j-1", "j-1"}, true},
		{"null dependencies", "awaits", nil, true},
		{"no dependencies", "awaits", []string{}, true},
		{"dependency on itself", "awaits", []string{"j-1", "j-000412"}, false},
		{"dependencies as text", "awaits", "j-1", false},
		{"number as dependency", "awaits", []any{1}, false},
		{"dependency with a bad id", "awaits", []string{"k-1"}, false},
		{"null as dependency", "awaits", []any{nil}, false},
		{"too many dependencies", "awaits", manyIDs(MaxDependencies + 1), false},
		{"most dependencies", "awaits", manyIDs(MaxDependencies), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := submission()
			if tt.field != "" {
				m[tt.field] = tt.value
			}
			raw, err := Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			j, err := ParseJob(raw)
			if (err == nil) != tt.ok {
				t.Fatalf("error %v, want ok %v", err, tt.ok)
			}
			if tt.ok && (j.ID != "j-000412" || j.Shape != Gang || len(j.Types) > 1) {
				t.Fatalf("parsed as %+v", j)
			}
		})
	}
	good, err := Marshal(submission())
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range [][]byte{nil, {0xc0}, {0x93, 1, 2, 3}, []byte("{}"), {0xdf, 0xff, 0xff, 0xff, 0xff}, {0x81, 0xa3},
		append(append([]byte(nil), good...), 0xc0)} {
		if _, err := ParseJob(raw); err == nil {
			t.Errorf("ParseJob accepted the malformed message %x", raw)
		}
	}
}

// A list whose header states four billion elements in a message of a few bytes must not make the decoder allocate
// memory for them: the node would be killed.
func TestClaimedLength(t *testing.T) {
	raw := []byte{0x81, 0xa4, 'l', 'o', 't', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}
	var r Heartbeat
	if Unmarshal(raw, &r) == nil {
		t.Fatal("Unmarshal accepted a list without its elements")
	}
	if _, err := ParseJob(raw); err == nil {
		t.Fatal("ParseJob accepted a list without its elements")
	}
}

func TestTaskName(t *testing.T) {
	if id, n, ok := ParseTaskName(TaskName("j-7", 42)); id != "j-7" || n != 42 || !ok {
		t.Fatal(id, n, ok)
	}
	for _, s := range []string{"", "j-7", "j-7/", "j-7/-1", "j-7/01", "j-7/100000", "x/1", "j-/1"} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("ParseTaskName accepted %q", s)
		}
	}
}

// FuzzParse passes arbitrary bytes to the parsers of received messages: no input may crash them, and a submission that
// is accepted must be within the limits.
func FuzzParse(f *testing.F) {
	raw, err := Marshal(submission())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x81, 0xa4, 0x6c, 0x6f, 0x74, 0x73, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if j, err := ParseJob(raw); err == nil {
			if !ValidJobID(j.ID) || j.Tasks < 1 || j.Tasks > MaxTasksPerJob || !(j.CPUs >= 0) || !(j.GPUs >= 0) ||
				!(j.MemoryGB >= 0) {
				t.Fatalf("ParseJob accepted %+v", j)
			}
		}
		var r Heartbeat
		if Unmarshal(raw, &r) == nil {
			for _, task := range r.Tasks {
				ParseTaskName(task.Task)
			}
		}
		JSONSize(raw)
	})
}

// Errors of a submission contain the name that the field has on the wire.
func TestParseJobErrorsNameTheField(t *testing.T) {
	m := submission()
	m["gpus"] = "many"
	raw, err := Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseJob(raw)
	var invalid *ValidationError
	if !errors.As(err, &invalid) || invalid.Field != "gpus" || err.Error() != `field "gpus": not a number` {
		t.Errorf("%v", err)
	}
	delete(m, "gpus")
	if raw, err = Marshal(m); err != nil {
		t.Fatal(err)
	}
	_, err = ParseJob(raw)
	if !errors.Is(err, errMissing) || err.Error() != `field "gpus" is missing` {
		t.Errorf("%v", err)
	}
	_, err = ParseJob(raw[:len(raw)-1])
	if !errors.Is(err, errTruncated) || err.Error() != "message ends early" {
		t.Errorf("%v", err)
	}
}
