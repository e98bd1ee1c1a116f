package config

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const platform = `
node = "n1"
location = "a"
client_listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
something = "new"

[[peers]]
node = "n2"
location = "b"
address = "127.0.0.1:3"

[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"

[cluster]
zones = ["a", "b"]
skew_ms = 25.0

[[cluster.teams]]
name = "red"
gpus = 8.0
gpus_max = 16.0

[cluster.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 40.0

[cluster.state]
rps = 120.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 4.0
list_lag_s = 8.0
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	for _, tt := range []struct{ name, old, new, settings, want string }{
		{"good", "", "", "", ""},
		{"settings", "", "", `{"age_cap_s": 60}`, ""},
		{"no node", `node = "n1"`, "", "", "field node"},
		{"peer twice", `node = "n2"`, `node = "n1"`, "", "field peers[0].node"},
		{"no port", "127.0.0.1:4", "127.0.0.1", "", "field external.cloud"},
		{"wrong type", "report_s = 2.0", `report_s = "2"`, "", "cluster.workers.report_s"},
		{"negative", "lease_s = 10.0", "lease_s = -1.0", "", "cluster.workers.lease_s"},
		{"missing", "txn_ops = 12", "", "", "cluster.state.txn_ops"},
		{"no zones", `zones = ["a", "b"]`, "", "", "cluster.zones"},
		{"not TOML", "[external]", "[external", "", "line"},
		{"unknown setting", "", "", `{"age_cap": 60}`, "age_cap"},
		{"setting out of range", "", "", `{"memory_share": 2}`, "/memory_share"},
		{"setting of a wrong type", "", "", `{"age_cap_s": "long"}`, "/age_cap_s"},
		{"not JSON", "", "", `{`, "not JSON"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := ""
			if tt.settings != "" {
				settings = write(t, "s.json", tt.settings)
			}
			c, err := Load(write(t, "p.toml", strings.Replace(platform, tt.old, tt.new, 1)), settings)
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				if c.Node != "n1" || len(c.Peers) != 1 || c.Settings.ScanPeriodS != 10 {
					t.Fatalf("%+v", c)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v, want one line with %q", err, tt.want)
			}
			var typed *Error
			if !errors.As(err, &typed) || typed.Path == "" || (typed.File == SettingsFile) != (tt.settings != "") {
				t.Errorf("error %+v, want an *Error with the path and the kind of the file", typed)
			}
		})
	}
}

// By the types of the errors, a caller can distinguish a missing file from an invalid one, and find the invalid field.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"), "")
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v, want os.ErrNotExist", err)
	}
	_, err = Load(write(t, "p.toml", strings.Replace(platform, `zones = ["a", "b"]`, "", 1)), "")
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "cluster.zones" {
		t.Errorf("missing field: error %v, want a *FieldError for cluster.zones", err)
	}
	_, err = Load(write(t, "p.toml", strings.Replace(platform, "[external]", "[external", 1)), "")
	var parse *ParseError
	if !errors.As(err, &parse) || parse.Row == 0 || parse.Err == nil {
		t.Errorf("invalid TOML: error %v, want a *ParseError with the row and the cause", err)
	}
}

// Guards against a duration above 0 that becomes 0, which callers divide by or take for "none".
func TestPositiveDurationIsNeverZero(t *testing.T) {
	for seconds, want := range map[float64]Micros{
		0: 0, 5e-324: 1, 1e-300: 1, 2e-7: 1, 1.4e-6: 1, 1.5e-6: 2, 30: 30 * Second, 1e9: 1e9 * Second,
		-2e-7: 0, -1: -Second,
	} {
		if got := FromSeconds(seconds); got != want {
			t.Errorf("%v s are %d us, want %d us", seconds, got, want)
		}
		if got := FromMillis(seconds * 1e3); got != want {
			t.Errorf("%v ms are %d us, want %d us", seconds*1e3, got, want)
		}
	}
}

// Guards against a duration that is too long for a Micros and becomes negative: "never" would be "at once".
func TestLongDurationKeepsItsSign(t *testing.T) {
	for _, seconds := range []float64{9.3e12, 1e15, 1e300, math.MaxFloat64, math.Inf(1)} {
		if got := FromSeconds(seconds); got != maxDuration {
			t.Errorf("%v s are %d us, want %d us", seconds, got, Micros(maxDuration))
		}
		if got := FromMillis(-seconds); got != -min(maxDuration, FromSeconds(seconds/1e3)) {
			t.Errorf("%v ms are %d us, want as much below 0 as the positive duration is above", -seconds, got)
		}
	}
	if got := FromSeconds(math.NaN()); got != 0 {
		t.Errorf("NaN s are %d us, want 0", got)
	}
}
