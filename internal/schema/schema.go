// Package schema holds documents against JSON schemas, with errors of one line.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Check holds a JSON document against a schema. Its error names what is wrong first.
func Check(schema, doc []byte) error {
	plain, err := jsonschema.UnmarshalJSON(bytes.NewReader(doc))
	if err != nil {
		return fmt.Errorf("not JSON: %s", OneLine(err.Error()))
	}
	text, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	const name = "schema.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, text); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile(name)
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	err = compiled.Validate(plain)
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return err
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	lines := strings.Split(ve.Error(), "\n")
	return errors.New(strings.TrimPrefix(strings.TrimSpace(lines[len(lines)-1]), "- "))
}

// CheckValue does the same for a document of another form, as JSON has it.
func CheckValue(schema []byte, doc any) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return Check(schema, raw)
}

// OneLine joins the words of a text.
func OneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
