package wire

import (
	"strconv"
	"strings"
)

// ValidJobID reports whether s has the form of a job ID: "j-" and 1 to 18 digits.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "j-")
	if !ok || digits == "" || len(digits) > 18 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name of a task of a job, such as "j-17/3".
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName returns the job and the task of a name that TaskName returned, or false if s isn't such a name.
func ParseTaskName(s string) (job string, task int, ok bool) {
	job, n, found := strings.Cut(s, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	task, err := strconv.Atoi(n)
	if err != nil || !ValidTask(task) || strconv.Itoa(task) != n {
		return "", 0, false
	}
	return job, task, true
}

// ValidTask reports whether a number can be that of a task: from 0 on, and below MaxTasksPerJob.
func ValidTask(task int) bool { return task >= 0 && task < MaxTasksPerJob }
