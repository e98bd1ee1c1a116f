// Command knownred decides whether a test run passes when some tests are known to fail because of a
// defect that is not fixed yet. It reads the output of "go test" from standard input:
//
//	go test ./... 2>&1 | knownred -list KNOWN-RED.txt -status 1
//
// A line of the list is "package test | cause | issue". The command ignores the failures of exactly
// those tests and prints them. It fails if anything else failed, if the list has more than three entries
// or can't be read, or if a listed test has not failed, because it passed or does not exist.
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

// maxKnown is the maximum number of listed tests.
const maxKnown = 3

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "`file` that lists the tests that are known to fail")
	status := flag.Int("status", 0, "exit status of the test command")
	flag.Parse()
	if err := run(*list, *status, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "known red:", err)
		os.Exit(1)
	}
}

// run checks a test log against the list. It returns nil if exactly the listed tests failed and,
// if none did, status is 0.
func run(list string, status int, log io.Reader, out io.Writer) error {
	known, err := readList(list)
	if err != nil {
		return err
	}
	failed, err := failures(log)
	if err != nil {
		return err
	}
	for _, listed := range known {
		if !slices.Contains(failed, listed.test) {
			return fmt.Errorf("%s is listed and has not failed: it passed or does not exist", listed.test)
		}
	}
	for _, test := range failed {
		if !slices.ContainsFunc(known, func(listed entry) bool { return listed.test == test }) {
			return fmt.Errorf("%s has failed", test)
		}
	}
	if status != 0 && len(failed) == 0 {
		return fmt.Errorf("the test command ended with status %d", status)
	}
	for _, listed := range known {
		fmt.Fprintf(out, "known red: %s: %s (%s)\n", listed.test, listed.cause, listed.issue)
	}
	return nil
}

// entry is a line of the list. A test is identified by "package test".
type entry struct{ test, cause, issue string }

// readList reads the list. A file that doesn't exist is an empty list.
func readList(path string) ([]entry, error) {
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
		fields := strings.Split(line, "|")
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		if len(fields) != 3 || len(strings.Fields(fields[0])) != 2 || fields[1] == "" || fields[2] == "" {
			return nil, fmt.Errorf("%s line %d is not \"package test | cause | issue\"", path, i+1)
		}
		known = append(known, entry{fields[0], fields[1], fields[2]})
	}
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%s lists %d tests, %d may be", path, len(known), maxKnown)
	}
	return known, nil
}

var (
	failedTest     = regexp.MustCompile(`^\s*--- FAIL: (\S+)`)
	endOfPackage   = regexp.MustCompile(`^(ok|FAIL)\s+(\S+)\s+(\S+)`)
	packageFailure = regexp.MustCompile(`^(panic: |fatal error: |FAIL\s+\S+ \[(build|setup) failed\])`)
)

// maxLineBytes is the maximum length of a line of the log.
const maxLineBytes = 16 << 20

// failures returns the tests of a log that failed, without those whose subtest failed. It returns an
// error if something other than a test failed.
func failures(log io.Reader) ([]string, error) {
	var failed, failedInPackage []string
	broken := ""
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if packageFailure.MatchString(line) && broken == "" {
			broken = line // results of the package's other tests are missing
		}
		if match := failedTest.FindStringSubmatch(line); match != nil {
			failedInPackage = append(failedInPackage, match[1])
			continue
		}
		match := endOfPackage.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		status, name := match[1], match[2]
		if status == "FAIL" && len(failedInPackage) == 0 && broken == "" {
			broken = line
		}
		for _, test := range withoutParents(failedInPackage) {
			failed = append(failed, name+" "+test)
		}
		failedInPackage = nil
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if broken != "" {
		return nil, fmt.Errorf("failure outside of a test: %s", broken)
	}
	if len(failedInPackage) > 0 {
		return nil, fmt.Errorf("test log ends before the result of the package of %s", failedInPackage[0])
	}
	return failed, nil
}

// withoutParents returns the tests that have no subtest in the list.
func withoutParents(tests []string) []string {
	var leaves []string
	for _, test := range tests {
		isSubtest := func(other string) bool { return strings.HasPrefix(other, test+"/") }
		if !slices.ContainsFunc(tests, isSubtest) {
			leaves = append(leaves, test)
		}
	}
	return leaves
}
