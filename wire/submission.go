package wire

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ValidationError describes why a submission is malformed. Its text is sent to the user with status 400.
type ValidationError struct {
	Field string // name on the wire; empty if the error concerns the whole body
	Err   error
}

func (e *ValidationError) Error() string {
	switch {
	case e.Field == "":
		return e.Err.Error()
	case errors.Is(e.Err, errMissing):
		return fmt.Sprintf("field %q is missing", e.Field)
	}
	return fmt.Sprintf("field %q: %v", e.Field, e.Err)
}

func (e *ValidationError) Unwrap() error { return e.Err }

var (
	errMissing       = errors.New("missing")
	errBodyTooLarge  = errors.New("body too large")
	errNotMap        = errors.New("body is not a map")
	errDependsOnSelf = errors.New("the job itself")
)

// ParseJob decodes and checks a submission. Its errors are of type *ValidationError. If the ID could be decoded, it is
// returned even with an error: the response to a retry for a known job is the status of that job, even if the retry is
// malformed.
func ParseJob(body []byte) (Job, error) {
	var j Job
	if len(body) > MaxBodyBytes {
		return j, &ValidationError{Err: errBodyTooLarge}
	}
	if err := Check(body); err != nil {
		return j, &ValidationError{Err: err}
	}
	present, err := readFields(body, &j)
	if err != nil {
		return j, err
	}
	for _, name := range requiredFields {
		if !present[name] {
			return j, &ValidationError{Field: name, Err: errMissing}
		}
	}
	if j.Shape == Service {
		j.EstimateS = 0
	}
	if slices.Contains(j.Dependencies, j.ID) {
		return j, &ValidationError{Field: "awaits", Err: errDependsOnSelf}
	}
	return j, nil
}

// readFields decodes the known fields of a submission and returns which of them are present. It continues after the
// first invalid field, since the ID may follow.
func readFields(body []byte, j *Job) (present map[string]bool, err error) {
	d := msgpack.NewDecoder(bytes.NewReader(body))
	code, err := d.PeekCode()
	if err != nil || !isMap(code) {
		return nil, &ValidationError{Err: errNotMap}
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, &ValidationError{Err: fmt.Errorf("body: %w", err)}
	}
	present = map[string]bool{}
	var invalid error
	for range n {
		name, err := decodeText(d)
		if err != nil {
			return nil, &ValidationError{Err: fmt.Errorf("field name: %w", err)}
		}
		set, known := jobFields[name]
		if !known {
			if err := d.Skip(); err != nil {
				return nil, &ValidationError{Field: name, Err: err}
			}
			continue
		}
		raw, err := d.DecodeRaw()
		if err != nil {
			return nil, &ValidationError{Field: name, Err: err}
		}
		present[name], err = set(j, raw)
		if err != nil && invalid == nil {
			invalid = &ValidationError{Field: name, Err: err}
		}
	}
	return present, invalid
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}
