package schema

import (
	"errors"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestTOMLErrorNamesThePosition(t *testing.T) {
	var document struct{ Machines int }
	err := toml.Unmarshal([]byte("\nmachines = \"many\"\n"), &document)
	invalid := NewTOMLError(err)
	if invalid.Row != 2 || invalid.Column != 12 || !errors.Is(invalid, err) {
		t.Errorf("%+v", invalid)
	}
	if want := "line 2 column 12: " + err.Error(); invalid.Error() != want {
		t.Errorf("%q, want %q", invalid.Error(), want)
	}
	if got := NewTOMLError(errors.New("two\nlines")).Error(); got != "two lines" {
		t.Errorf("without a position: %q", got)
	}
}
