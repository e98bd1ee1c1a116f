package frontend

// pageChanges is when the placement pages were last seen to change.
type pageChanges struct {
	revision   uint64 // of the last change
	lastSeenAt Micros
}

// observe compares the revision of the last change with the one that was known.
func (c *pageChanges) observe(now Micros, revision uint64) {
	if revision != c.revision {
		c.revision = revision
		c.lastSeenAt = now
	}
}
