package faulttest

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"
)

// kindsInSchema returns the kinds that the schema allows in the tables of a name.
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
		t.Fatalf("the schema has no kinds of %s", table)
	}
	slices.Sort(kinds)
	return kinds
}

// Every kind of fault that a scenario may name has an injector, and no injector is left over.
func TestEveryFaultHasInjector(t *testing.T) {
	applied := injectors(&nodeFaults{}, &serviceFaults{}, &machineFaults{})
	if want, got := kindsInSchema(t, "fault"), slices.Sorted(maps.Keys(applied)); !slices.Equal(got, want) {
		t.Errorf("injectors of %v, want %v", got, want)
	}
}

// Every kind of expectation that a scenario may name has a scorer, but the one that counts all jobs
// together.
func TestEveryExpectationHasScorer(t *testing.T) {
	got := append(slices.Collect(maps.Keys(scorers)), expectServed)
	slices.Sort(got)
	if want := kindsInSchema(t, "expect"); !slices.Equal(got, want) {
		t.Errorf("scorers of %v, want %v", got, want)
	}
}

// An expectation of a kind that there isn't is an error, also where no schema has excluded it.
func TestUnknownExpectation(t *testing.T) {
	e := newEvaluation(&Scenario{}, nil, nil, 0, 0)
	_, err := e.evaluate(&Expect{Kind: "luck"})
	var unknown *unknownExpectationError
	if !errors.As(err, &unknown) || unknown.kind != "luck" {
		t.Errorf("%v", err)
	}
}
