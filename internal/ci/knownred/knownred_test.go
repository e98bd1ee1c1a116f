package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	green = "ok  \tcoralhub/a\t0.1s\nok  \tcoralhub/b\t0.2s\n"
	one   = "--- FAIL: TestX (0.00s)\n    --- FAIL: TestX/sub/7 (0.00s)\n        x_test.go:1: wrong\nFAIL\nFAIL\tcoralhub/a\t0.1s\nok  \tcoralhub/b\t0.2s\nFAIL\n"
	two   = "--- FAIL: TestX (0.00s)\n    --- FAIL: TestX/sub/7 (0.00s)\n--- FAIL: TestY (0.00s)\nFAIL\nFAIL\tcoralhub/a\t0.1s\nFAIL\n"
	line  = "coralhub/a TestX/sub/7 | a fault of ours | issue 1\n"
)

// The script that CI runs passes or fails a test run by the list. Shell commands replace the tests.
func TestScript(t *testing.T) {
	for _, c := range []struct {
		name, list, log, status string
		ok                      bool
		want                    string
	}{
		{"all pass, nothing listed", "", green, "0", true, ""},
		{"a test fails, nothing listed", "", one, "1", false, "coralhub/a TestX/sub/7 has failed"},
		{"the listed test fails", line, one, "1", true, "known red: coralhub/a TestX/sub/7: a fault of ours (issue 1)"},
		{"another test fails too", line, two, "1", false, "coralhub/a TestY has failed"},
		{"the listed test passes", line, green, "0", false, "has not failed"},
		{"no such test", "coralhub/a TestZ | a fault | issue 1\n", one, "1", false, "coralhub/a TestZ is listed and has not failed"},
		{"the list names another package", "coralhub/b TestX/sub/7 | a fault | issue 1\n", one, "1", false, "has not failed"},
		{"the parent test is listed", "coralhub/a TestX | a fault | issue 1\n", one, "1", false, "has not failed"},
		{"a fourth entry", strings.Repeat(line, 4), one, "1", false, "lists 4 tests, 3 may be"},
		{"no cause", "coralhub/a TestX/sub/7\n", one, "1", false, "line 1"},
		{"a panic", line, "panic: no\n" + one, "2", false, "panic: no"},
		{"a package that does not build", line, one + "FAIL\tcoralhub/c [build failed]\n", "1", false, "build failed"},
		{"a package fails without a failed test", line, one + "FAIL\tcoralhub/c\t0.1s\n", "1", false, "coralhub/c"},
		{"the command fails and no test does", "", green, "3", false, "status 3"},
		{"no log, the command is not found", "", "", "127", false, "status 127"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			list, log := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "log")
			for path, text := range map[string]string{list: c.list, log: c.log} {
				if path == list && text == "" {
					continue // the list doesn't exist
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.CommandContext(t.Context(), "bash", "../../../.ci/test", list, "cat "+log+"; exit "+c.status)
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(out), c.want) {
				t.Errorf("%v, want ok %v and %q:\n%s", err, c.ok, c.want, out)
			}
			if !strings.Contains(string(out), c.log) {
				t.Errorf("output of the tests is missing:\n%s", out)
			}
		})
	}
}
