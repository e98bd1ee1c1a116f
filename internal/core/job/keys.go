package job

import (
	"fmt"
	"strconv"
	"strings"

	"coralhub/wire"
)

// KeyRoot is the prefix of every key in the state service.
const KeyRoot = "ch/"

const (
	recordPrefix = KeyRoot + "job/"
	shardPrefix  = KeyRoot + "part/"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return recordPrefix + id }

// ShardKey returns the key of a job's n-th shard, for n from 1 on.
func ShardKey(id string, n int) string { return fmt.Sprintf("%s%s/%d", shardPrefix, id, n) }

// maxShard is the highest number of a shard that any job can have, that of the last task if its record holds no tasks.
const maxShard = (wire.MaxTasksPerJob-1)/TasksPerShard + 1

// ParseKey parses the key of a record or of a shard. For a record, shard is 0. For any other key, ok
// is false and the other results are meaningless.
func ParseKey(key string) (id string, shard int, ok bool) {
	if id, ok = strings.CutPrefix(key, recordPrefix); ok {
		return id, 0, wire.ValidJobID(id)
	}
	rest, ok := strings.CutPrefix(key, shardPrefix)
	if !ok {
		return "", 0, false
	}
	id, number, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(number)
	return id, n, ok && err == nil && n > 0 && n <= maxShard && wire.ValidJobID(id)
}
