package schema

import (
	"errors"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestTOMLErrorPosition(t *testing.T) {
	var document struct{ Machines int }
	err := toml.Unmarshal([]byte("\nmachines = \"many\"\n"), &document)
	invalid := NewTOMLError(err)
	if invalid.Row != 2 || invalid.Column != 12 || !errors.Is(invalid, err) {
		t.Errorf("got %+v, want row 2, column 12 and the decoder's error", invalid)
	}
	if want := "line 2 column 12: " + err.Error(); invalid.Error() != want {
		t.Errorf("%q, want %q", invalid.Error(), want)
	}
	if got := NewTOMLError(errors.New("two\nlines")).Error(); got != "two lines" {
		t.Errorf("error without a position: got %q, want \"two lines\"", got)
	}
}
