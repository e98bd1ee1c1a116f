package faulttest

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"
)

// kindsInSchema returns the sorted values that the schema allows for the key kind in the tables of the
// given name.
func kindsInSchema(t *testing.T, table string) []string {
	t.Helper()
	type property struct {
		Items struct {
			Properties map[string]struct {
				Enum []string `json:"enum"`
			} `json:"properties"`
		} `json:"items"`
	}
	var schema struct {
		Properties map[string]property `json:"properties"`
	}
	if err := json.Unmarshal(schemaText, &schema); err != nil {
		t.Fatal(err)
	}
	kinds := schema.Properties[table].Items.Properties["kind"].Enum
	if len(kinds) == 0 {
		t.Fatalf("schema allows no kinds of %s", table)
	}
	slices.Sort(kinds)
	return kinds
}

// There is an injector for each kind of fault in the schema, and for no other kind.
func TestEveryFaultHasInjector(t *testing.T) {
	applied := injectors(&nodeFaults{}, &serviceFaults{}, &machineFaults{})
	if want, got := kindsInSchema(t, "fault"), slices.Sorted(maps.Keys(applied)); !slices.Equal(got, want) {
		t.Errorf("kinds with an injector: %v, want %v", got, want)
	}
}

// There is a scorer for each kind of expectation in the schema, and for no other kind. expectStartedInTime
// is evaluated over all jobs together and has none.
func TestEveryExpectationHasScorer(t *testing.T) {
	got := append(slices.Collect(maps.Keys(scorers)), expectStartedInTime)
	slices.Sort(got)
	if want := kindsInSchema(t, "expect"); !slices.Equal(got, want) {
		t.Errorf("kinds with a scorer: %v, want %v", got, want)
	}
}

// evaluate returns an error for an unknown kind of expectation, in a scenario that was not validated by the
// schema.
func TestUnknownExpectation(t *testing.T) {
	e := newEvaluation(&Scenario{}, nil, nil, 0, 0)
	_, err := e.evaluate(&Expectation{Kind: "luck"})
	var unknown *unknownExpectationError
	if !errors.As(err, &unknown) || unknown.kind != "luck" {
		t.Errorf("error %v, want an unknownExpectationError", err)
	}
}
