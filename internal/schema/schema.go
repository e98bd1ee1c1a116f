// Package schema validates documents against JSON schemas and describes why TOML documents can't be decoded. Its errors
// are one line long.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Check validates a JSON document against a schema. It returns the first violation as an error, or an error if the
// document isn't JSON or the schema is invalid.
func Check(schema, doc []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(doc))
	if err != nil {
		return fmt.Errorf("not JSON: %s", OneLine(err.Error()))
	}
	schemaDocument, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return fmt.Errorf("parse schema: %w", err)
	}
	const name = "schema.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, schemaDocument); err != nil {
		return fmt.Errorf("add schema: %w", err)
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return fmt.Errorf("compile schema: %w", err)
	}
	err = compiled.Validate(document)
	var validationError *jsonschema.ValidationError
	if !errors.As(err, &validationError) {
		return err
	}
	for len(validationError.Causes) > 0 {
		validationError = validationError.Causes[0]
	}
	lines := strings.Split(validationError.Error(), "\n")
	return errors.New(strings.TrimPrefix(strings.TrimSpace(lines[len(lines)-1]), "- "))
}

// CheckValue validates the JSON encoding of a value against a schema.
func CheckValue(schema []byte, doc any) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return Check(schema, raw)
}

// OneLine returns s with each run of white space replaced by a single space, and none at its ends.
func OneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
