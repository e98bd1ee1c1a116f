package process

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ResidentMB returns the resident memory of a process, in MB of 2^20 bytes, or 0 if it is unknown.
func ResidentMB(pid int) float64 {
	return readField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:") / 1024
}

// TotalMB returns the machine's memory, in MB of 2^20 bytes, or 0 if it is unknown.
func TotalMB() float64 { return readField("/proc/meminfo", "MemTotal:") / 1024 }

// readField returns the number that follows a name at the start of a line of a file, or 0 if there is none.
func readField(file, name string) float64 {
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		if words := strings.Fields(rest); len(words) > 0 {
			value, _ := strconv.ParseFloat(words[0], 64) // 0 if it is not a number
			return value
		}
	}
	return 0
}

const (
	// Indexes of fields of /proc/PID/stat, counted from 0 after the command's name.
	userTimeField   = 11
	systemTimeField = 12
	// clockTick is the unit of these times.
	clockTick = 10 * time.Millisecond
)

// CPU returns the CPU time of a process, to a hundredth of a second, or 0 if it is unknown.
func CPU(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// OpenFiles returns the number of open files and sockets of a process, or 0 if it is unknown.
func OpenFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// FileLimit returns how many files this process, or a child of it, may have open at a time.
func FileLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	const unlimited = 1 << 30 // higher limits are reported as this value
	return int(min(limit.Cur, unlimited)), nil
}

// OutOfFiles reports whether an error means that this process or the machine has reached its limit of open
// files.
func OutOfFiles(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
