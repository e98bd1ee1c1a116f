package frontend

// pageChanges records when the placement pages were last observed to change.
type pageChanges struct {
	revision   uint64 // of the last change
	lastSeenAt Micros
}

// observe records a change if the revision of the last change is not the one that was observed before.
func (c *pageChanges) observe(now Micros, revision uint64) {
	if revision != c.revision {
		c.revision = revision
		c.lastSeenAt = now
	}
}
