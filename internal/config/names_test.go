package config

import (
	"testing"

	"coralhub/internal/golden"
)

// The platform's file and the operators' settings keep their names, whatever the code calls them.
func TestNamesOfSettings(t *testing.T) {
	golden.Check(t, "platform-names.txt", golden.Names("toml", Platform{}))
	golden.Check(t, "settings-names.txt", golden.Names("json", Settings{}))
}
