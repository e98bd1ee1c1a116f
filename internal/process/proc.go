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

// ResidentMB is the memory that a process holds, in MB of 2^20 bytes; 0 if that can't be told.
func ResidentMB(pid int) float64 {
	return field(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:") / 1024
}

// TotalMB is the machine's memory, in MB of 2^20 bytes; 0 if that can't be told.
func TotalMB() float64 { return field("/proc/meminfo", "MemTotal:") / 1024 }

// field reads the number after a name at the start of a line; 0 if there is none.
func field(file, name string) float64 {
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
			value, _ := strconv.ParseFloat(words[0], 64) // 0 if it is no number
			return value
		}
	}
	return 0
}

// CPU is the processor time that a process has taken, to a hundredth of a second; 0 if that
// can't be told.
func CPU(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// OpenFiles is how many files and sockets a process has open; 0 if that can't be told.
func OpenFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// FileLimit is how many files a process of this one's may have open.
func FileLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	const most = 1 << 30 // more is as good as no limit
	return int(min(limit.Cur, most)), nil
}

// OutOfFiles tells whether an error says that this process, or the machine, has no more files
// to open.
func OutOfFiles(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
