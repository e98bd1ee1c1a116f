package config

import (
	"testing"

	"coralhub/internal/golden"
)

// The names of fields in the platform file and in the operators' settings must not change when Go fields are renamed.
func TestNamesOfSettings(t *testing.T) {
	golden.Check(t, "platform-names.txt", golden.Names("toml", Platform{}))
	golden.Check(t, "settings-names.txt", golden.Names("json", Settings{}))
}
