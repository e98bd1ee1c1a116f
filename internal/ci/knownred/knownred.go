// Command knownred judges a run of the tests when some are known to fail for a real fault that
// could not be mended yet. It reads what "go test" printed from standard input:
//
//	go test ./... 2>&1 | knownred -list KNOWN-RED.txt -status 1
//
// A line of the list is "package test | cause | issue". It passes over exactly those tests and prints them. It
// fails if anything else failed, if the list is longer than three lines or can't be read, and if a
// test that is listed has not failed, be it that it passes or that there is none of that name.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// most is how many tests may be known to fail.
const most = 3

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "the tests that are known to fail")
	status := flag.Int("status", 0, "how the test command ended")
	flag.Parse()
	if err := run(*list, *status, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "known red:", err)
		os.Exit(1)
	}
}

// run judges a log by the list; nil: but for what is known, all is well.
func run(list string, status int, log io.Reader, out io.Writer) error {
	known, err := read(list)
	if err != nil {
		return err
	}
	failed, err := failures(log)
	if err != nil {
		return err
	}
	for _, k := range known {
		if !slices.Contains(failed, k.test) {
			return fmt.Errorf("%s is listed and has not failed: it passes, or there is no such test", k.test)
		}
	}
	for _, f := range failed {
		if !slices.ContainsFunc(known, func(k entry) bool { return k.test == f }) {
			return fmt.Errorf("%s has failed", f)
		}
	}
	if status != 0 && len(failed) == 0 {
		return fmt.Errorf("the test command ended with status %d", status)
	}
	for _, k := range known {
		fmt.Fprintf(out, "known red: %s: %s (%s)\n", k.test, k.cause, k.issue)
	}
	return nil
}

// entry is a line of the list. A test is told as "package test".
type entry struct{ test, cause, issue string }

// read takes the list; a file that isn't there lists nothing.
func read(path string) ([]entry, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []entry
	for i, line := range strings.Split(string(raw), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		f := strings.Split(line, "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		if len(f) != 3 || len(strings.Fields(f[0])) != 2 || f[1] == "" || f[2] == "" {
			return nil, fmt.Errorf("%s line %d is not \"package test | cause | issue\"", path, i+1)
		}
		known = append(known, entry{f[0], f[1], f[2]})
	}
	if len(known) > most {
		return nil, fmt.Errorf("%s lists %d tests, %d may be", path, len(known), most)
	}
	return known, nil
}

var (
	failedTest    = regexp.MustCompile(`^\s*--- FAIL: (\S+)`)
	endOfPackage  = regexp.MustCompile(`^(ok|FAIL)\s+(\S+)\s+(\S+)`)
	brokenPackage = regexp.MustCompile(`^(panic: |fatal error: |FAIL\s+\S+ \[(build|setup) failed\])`)
)

// failures lists the tests of a log that failed by themselves, not by a test below them.
func failures(log io.Reader) ([]string, error) {
	var all, inPackage []string
	broken := ""
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Text()
		if brokenPackage.MatchString(line) && broken == "" {
			broken = line // no test's word for the others of its package counts any more
		}
		if m := failedTest.FindStringSubmatch(line); m != nil {
			inPackage = append(inPackage, m[1])
			continue
		}
		m := endOfPackage.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		if m[1] == "FAIL" && len(inPackage) == 0 && broken == "" {
			broken = line
		}
		for _, test := range inPackage {
			if !slices.ContainsFunc(inPackage, func(o string) bool { return strings.HasPrefix(o, test+"/") }) {
				all = append(all, m[2]+" "+test)
			}
		}
		inPackage = nil
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if broken != "" {
		return nil, fmt.Errorf("not a test's failure: %s", broken)
	}
	if len(inPackage) > 0 {
		return nil, fmt.Errorf("the log ends before the package of %s", inPackage[0])
	}
	return all, nil
}
