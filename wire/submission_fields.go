package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxTextBytes bounds the length of every text of a submission, so that the record of the job fits into a value of the
// state service.
const maxTextBytes = 128

// maxTypes bounds the length of a submission's list of machine types.
const maxTypes = 16

// MaxDependencies bounds the number of different jobs that a submission may depend on, so that checking them takes
// only a small part of what the limits of the state service allow.
const MaxDependencies = 256

var requiredFields = []string{"ref", "docket", "desk", "shape", "rank", "lots", "cores", "gpus", "ram_gb",
	"build", "pull_gb", "one_zone", "spread", "loaners", "expect_s", "bookmark_s", "stash_s"}

// jobFields are functions that set a field of a Job from its encoded value, by the name of the field on the wire. They
// return false for null, and an error with the reason if the value is invalid.
var jobFields = map[string]func(*Job, []byte) (bool, error){
	"ref": func(j *Job, b []byte) (bool, error) {
		s, ok, err := textValue(b)
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
	"shape":  enumField(func(j *Job) *string { return &j.Shape }, Array, Gang, Service),
	"rank":   enumField(func(j *Job) *string { return &j.Priority }, Production, High, Normal, Low),
	"lots": func(j *Job, b []byte) (bool, error) {
		f, ok, err := numberValue(b)
		if err != nil || !ok {
			return ok, err
		}
		if f != math.Trunc(f) || f < 1 || f > MaxTasksPerJob {
			return true, errors.New("not a count of tasks")
		}
		j.Tasks = int(f)
		return true, nil
	},
	"cores":      amountField(func(j *Job) *float64 { return &j.CPUs }),
	"gpus":       amountField(func(j *Job) *float64 { return &j.GPUs }),
	"ram_gb":     amountField(func(j *Job) *float64 { return &j.MemoryGB }),
	"build":      textField(func(j *Job) *string { return &j.Image }),
	"pull_gb":    amountField(func(j *Job) *float64 { return &j.ImageGB }),
	"expect_s":   amountField(func(j *Job) *float64 { return &j.EstimateS }),
	"bookmark_s": amountField(func(j *Job) *float64 { return &j.CheckpointS }),
	"stash_s":    amountField(func(j *Job) *float64 { return &j.SaveS }),
	"one_zone":   boolField(func(j *Job) *bool { return &j.OneZone }),
	"spread":     boolField(func(j *Job) *bool { return &j.Spread }),
	"loaners":    boolField(func(j *Job) *bool { return &j.Spot }),
	"yard":       textField(func(j *Job) *string { return &j.Zone }),
	"due_s": func(j *Job, b []byte) (bool, error) {
		var f float64
		ok, err := amountField(func(*Job) *float64 { return &f })(j, b)
		if ok && err == nil {
			j.DeadlineS = &f
		}
		return ok, err
	},
	"rigs": func(j *Job, b []byte) (bool, error) {
		types, ok, err := decodeTexts(b, maxTypes)
		if ok && err == nil && len(types) == 0 {
			err = errors.New("no machine types")
		}
		j.Types = types
		return ok, err
	},
	"awaits": func(j *Job, b []byte) (bool, error) {
		ids, ok, err := decodeTexts(b, MaxBodyBytes)
		if err != nil {
			return ok, err
		}
		j.Dependencies = nil
		seen := make(map[string]bool, len(ids))
		for _, id := range ids {
			switch {
			case !ValidJobID(id):
				return true, errors.New("not a job id")
			case !seen[id]:
				seen[id] = true
				j.Dependencies = append(j.Dependencies, id)
			}
		}
		if len(j.Dependencies) > MaxDependencies {
			return true, fmt.Errorf("more than %d jobs", MaxDependencies)
		}
		return ok, nil
	},
}

// decodeTexts decodes a list of at most maxLength texts. It returns false for null.
func decodeTexts(b []byte, maxLength int) ([]string, bool, error) {
	if isNil(b) {
		return nil, false, nil
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if c, _ := d.PeekCode(); !msgpcode.IsFixedArray(c) && c != msgpcode.Array16 && c != msgpcode.Array32 {
		return nil, true, errors.New("not a list")
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > maxLength {
		return nil, true, errors.New("not a list of that kind")
	}
	out := make([]string, 0, n)
	for range n {
		s, err := decodeText(d)
		if err != nil {
			return nil, true, err
		}
		out = append(out, s)
	}
	return out, true, nil
}

func isNil(b []byte) bool { return len(b) == 1 && b[0] == msgpcode.Nil }

func decodeText(d *msgpack.Decoder) (string, error) {
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
	if len(s) > maxTextBytes {
		return "", errors.New("text too long")
	}
	return s, nil
}

func textValue(b []byte) (string, bool, error) {
	if isNil(b) {
		return "", false, nil
	}
	s, err := decodeText(msgpack.NewDecoder(bytes.NewReader(b)))
	if err == nil && s == "" {
		err = errors.New("empty")
	}
	return s, true, err
}

func numberValue(b []byte) (float64, bool, error) {
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

func textField(field func(*Job) *string) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		s, ok, err := textValue(b)
		if err == nil && ok {
			*field(j) = s
		}
		return ok, err
	}
}

func enumField(field func(*Job) *string, allowed ...string) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		s, ok, err := textValue(b)
		if err != nil || !ok {
			return ok, err
		}
		if !slices.Contains(allowed, s) {
			return true, errors.New("not one of " + strings.Join(allowed, ", "))
		}
		*field(j) = s
		return true, nil
	}
}

func amountField(field func(*Job) *float64) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		f, ok, err := numberValue(b)
		if err != nil || !ok {
			return ok, err
		}
		if !validAmount(f) {
			return true, errors.New("out of range")
		}
		*field(j) = f
		return true, nil
	}
}

// validAmount reports whether a number is from 0 to MaxAmount.
func validAmount(f float64) bool { return f >= 0 && f <= MaxAmount }

func boolField(field func(*Job) *bool) func(*Job, []byte) (bool, error) {
	return func(j *Job, b []byte) (bool, error) {
		switch b[0] {
		case msgpcode.Nil:
			return false, nil
		case msgpcode.True, msgpcode.False:
			*field(j) = b[0] == msgpcode.True
			return true, nil
		}
		return true, errors.New("not a boolean")
	}
}
