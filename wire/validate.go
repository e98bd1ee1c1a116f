package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxText bounds every text of a submission, so that its record fits the
// values of the state service.
const maxText = 128

// maxTypes bounds the list of machine types of a submission.
const maxTypes = 16

// MaxNeeds bounds the jobs that a submission may name as needed, so that
// checking them stays a small part of what the state service allows.
const MaxNeeds = 256

// ValidJobID tells whether s has the form of a job id: "j-" and digits.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "j-")
	if !ok || digits == "" || len(digits) > 18 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName names a task of a job.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName is the reverse of TaskName.
func ParseTaskName(s string) (job string, task int, ok bool) {
	job, n, found := strings.Cut(s, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	task, err := strconv.Atoi(n)
	if err != nil || task < 0 || task >= MaxTasks || strconv.Itoa(task) != n {
		return "", 0, false
	}
	return job, task, true
}

// ParseJob reads and checks a submission. When the id could be read it is
// returned even along with an error, since a job that is known already is
// answered whatever a retry of it holds.
func ParseJob(body []byte) (Job, error) {
	var j Job
	if len(body) > MaxBody {
		return j, errors.New("body too large")
	}
	if err := Check(body); err != nil {
		return j, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(body))
	code, err := d.PeekCode()
	if err != nil || !isMap(code) {
		return j, errors.New("body is not a map")
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return j, fmt.Errorf("body: %w", err)
	}
	seen := map[string]bool{}
	var bad error
	for range n {
		name, err := text(d)
		if err != nil {
			return j, fmt.Errorf("field name: %w", err)
		}
		set, known := jobFields[name]
		if !known {
			if err := d.Skip(); err != nil {
				return j, fmt.Errorf("field %q: %w", name, err)
			}
			continue
		}
		raw, err := d.DecodeRaw()
		if err != nil {
			return j, fmt.Errorf("field %q: %w", name, err)
		}
		present, err := set(&j, raw)
		if err != nil && bad == nil {
			bad = fmt.Errorf("field %q: %w", name, err)
		}
		seen[name] = present
	}
	if bad != nil {
		return j, bad
	}
	for _, name := range requiredFields {
		if !seen[name] {
			return j, fmt.Errorf("field %q is missing", name)
		}
	}
	if (j.Shape == Service) && j.EstimateS != 0 {
		j.EstimateS = 0
	}
	if slices.Contains(j.Needs, j.ID) {
		return j, errors.New(`field "awaits": the job itself`)
	}
	return j, nil
}

var requiredFields = []string{"ref", "docket", "desk", "shape", "rank", "lots", "cores", "gpus", "ram_gb",
	"build", "pull_gb", "one_zone", "spread", "loaners", "expect_s", "bookmark_s", "stash_s"}

var jobFields = map[string]func(*Job, []byte) (bool, error){
	"ref": func(j *Job, b []byte) (bool, error) {
		s, ok, err := rawText(b)
		if err != nil || !ok {
			return ok, err
		}
		if !ValidJobID(s) {
			return true, errors.New("not a job id")
		}
		j.ID = s
		return true, nil
	},
	"docket": textField(func(j *Job) *string { return &j.Class }),
	"desk":   textField(func(j *Job) *string { return &j.Team }),
	"shape":  oneOf(func(j *Job) *string { return &j.Shape }, Array, Gang, Service),
	"rank":   oneOf(func(j *Job) *string { return &j.Priority }, Production, High, Normal, Low),
	"lots": func(j *Job, b []byte) (bool, error) {
		f, ok, err := rawNumber(b)
		if err != nil || !ok {
			return ok, err
		}
		if f != math.Trunc(f) || f < 1 || f > MaxTasks {
			return true, errors.New("not a count of tasks")
		}
		j.Tasks = int(f)
		return true, nil
	},
	"cores":      amount(func(j *Job) *float64 { return &j.CPUs }),
	"gpus":       amount(func(j *Job) *float64 { return &j.GPUs }),
	"ram_gb":     amount(func(j *Job) *float64 { return &j.MemoryGB }),
	"build":      textField(func(j *Job) *string { return &j.Image }),
	"pull_gb":    amount(func(j *Job) *float64 { return &j.ImageGB }),
	"expect_s":   amount(func(j *Job) *float64 { return &j.EstimateS }),
	"bookmark_s": amount(func(j *Job) *float64 { return &j.CheckpointS }),
	"stash_s":    amount(func(j *Job) *float64 { return &j.SaveS }),
	"one_zone":   flag(func(j *Job) *bool { return &j.OneZone }),
	"spread":     flag(func(j *Job) *bool { return &j.Spread }),
	"loaners":    flag(func(j *Job) *bool { return &j.Spot }),
	"yard":       textField(func(j *Job) *string { return &j.Zone }),
	"due_s": func(j *Job, b []byte) (bool, error) {
		var f float64
		ok, err := amount(func(*Job) *float64 { return &f })(j, b)
		if ok && err == nil {
			j.DeadlineS = &f
		}
		return ok, err
	},
	"rigs": func(j *Job, b []byte) (bool, error) {
		types, ok, err := texts(b, maxTypes)
		if ok && err == nil && len(types) == 0 {
			err = errors.New("no machine types")
		}
		j.Types = types
		return ok, err
	},
	"awaits": func(j *Job, b []byte) (bool, error) {
		ids, ok, err := texts(b, MaxBody)
		if err != nil {
			return ok, err
		}
		j.Needs = nil
		seen := make(map[string]bool, len(ids))
		for _, id := range ids {
			switch {
			case !ValidJobID(id):
				return true, errors.New("not a job id")
			case !seen[id]:
				seen[id] = true
				j.Needs = append(j.Needs, id)
			}
		}
		if len(j.Needs) > MaxNeeds {
			return true, fmt.Errorf("more than %d jobs", MaxNeeds)
		}
		return ok, nil
	},
}

// texts reads a list of at most so many texts; false if it is null.
func texts(b []byte, most int) ([]string, bool, error) {
	if isNil(b) {
		return nil, false, nil
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if c, _ := d.PeekCode(); !msgpcode.IsFixedArray(c) && c != msgpcode.Array16 && c != msgpcode.Array32 {
		return nil, true, errors.New("not a list")
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > most {
		return nil, true, errors.New("not a list of that kind")
	}
	out := make([]string, 0, n)
	for range n {
		s, err := text(d)
		if err != nil {
			return nil, true, err
		}
		out = append(out, s)
	}
	return out, true, nil
}

func isMap(c byte) bool {
	return msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32
}

func isNil(b []byte) bool { return len(b) == 1 && b[0] == msgpcode.Nil }

func text(d *msgpack.Decoder) (string, error) {
	c, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsFixedString(c) && c != msgpcode.Str8 && c != msgpcode.Str16 && c != msgpcode.Str32 {
		return "", errors.New("not text")
	}
	s, err := d.DecodeString()
	if err != nil {
		return "", err
	}
	if len(s) > maxText {
		return "", errors.New("text too long")
	}
	return s, nil
}

func rawText(b []byte) (string, bool, error) {
	if isNil(b) {
		return "", false, nil
	}
	s, err := text(msgpack.NewDecoder(bytes.NewReader(b)))
	if err == nil && s == "" {
		err = errors.New("empty")
	}
	return s, true, err
}

func rawNumber(b []byte) (float64, bool, error) {
	if isNil(b) {
		return 0, false, nil
	}
	c := b[0]
	if !msgpcode.IsFixedNum(c) && (c < msgpcode.Float || c > msgpcode.Int64) {
		return 0, true, errors.New("not a number")
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	f, err := d.DecodeFloat64()
	return f, true, err
}

func textField(at func(*Job) *string) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		s, ok, err := rawText(b)
		if err == nil && ok {
			*at(j) = s
		}
		return ok, err
	}
}

func oneOf(at func(*Job) *string, allowed ...string) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		s, ok, err := rawText(b)
		if err != nil || !ok {
			return ok, err
		}
		for _, a := range allowed {
			if s == a {
				*at(j) = s
				return true, nil
			}
		}
		return true, errors.New("not one of " + strings.Join(allowed, ", "))
	}
}

func amount(at func(*Job) *float64) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		f, ok, err := rawNumber(b)
		if err != nil || !ok {
			return ok, err
		}
		if math.IsNaN(f) || f < 0 || f > 1e9 {
			return true, errors.New("out of range")
		}
		*at(j) = f
		return true, nil
	}
}

func flag(at func(*Job) *bool) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		switch b[0] {
		case msgpcode.Nil:
			return false, nil
		case msgpcode.True, msgpcode.False:
			*at(j) = b[0] == msgpcode.True
			return true, nil
		}
		return true, errors.New("not a boolean")
	}
}
