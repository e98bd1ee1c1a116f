package schema

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// TOMLError is the error of a TOML document that can't be decoded. Its text is one line.
type TOMLError struct {
	Row, Column int // from 1; 0 if unknown
	Err         error
}

// NewTOMLError returns a TOMLError for an error of the decoder, with its position if the decoder reports one.
func NewTOMLError(err error) *TOMLError {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return &TOMLError{Err: err}
	}
	row, column := decodeError.Position()
	return &TOMLError{Row: row, Column: column, Err: decodeError}
}

func (e *TOMLError) Error() string {
	reason := OneLine(e.Err.Error())
	if e.Row == 0 {
		return reason
	}
	return fmt.Sprintf("line %d column %d: %s", e.Row, e.Column, reason)
}

func (e *TOMLError) Unwrap() error { return e.Err }
