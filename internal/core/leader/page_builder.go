package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

const (
	// emptyPageBytes is an upper bound of the size of a page without entries.
	emptyPageBytes = 16
	// entryOverheadBytes is the estimated size of an entry without placements.
	entryOverheadBytes = 60
	// placementBytes is the estimated size of a placement in an entry.
	placementBytes = 30
)

// pageBuilder is the next value of a placement page while a transaction is being built.
type pageBuilder struct {
	number  uint64
	version uint64 // version that it replaces, 0 if the page is new
	entries []records.PlacementEntry
	size    int // upper bound of the size of the encoded value in bytes
}

// add adds an entry of the given size in bytes. Entries of the same tasks are merged when the page is encoded.
func (b *pageBuilder) add(entry records.PlacementEntry, size int) {
	b.size += size
	b.entries = append(b.entries, entry)
}

// truncate keeps the given number of entries at the front and removes the others. size is the size of the page in bytes
// with the remaining entries.
func (b *pageBuilder) truncate(entries, size int) {
	b.entries = b.entries[:entries]
	b.size = size
}

// newPageBuilder returns a builder that rewrites an existing page, with its entries compacted.
func (pc *placementCommits) newPageBuilder(n uint64) *pageBuilder {
	b := &pageBuilder{number: n, version: pc.replica.PlacementPage(n).Version, entries: pc.replica.CompactedEntries(n)}
	b.size = encodedSize(b.entries)
	return b
}

// addToPages adds a job's plan to the given pages and to further pages, up to a total of limit pages. It returns all of
// the pages. If the transaction can't hold the whole plan, it leaves the given pages unchanged and returns false.
func (pc *placementCommits) addToPages(j *Job, pages []*pageBuilder, limit int) ([]*pageBuilder, bool) {
	type savedPage struct {
		page    *pageBuilder
		entries int
		size    int
	}
	var saved []savedPage
	for _, page := range pages {
		saved = append(saved, savedPage{page, len(page.entries), page.size})
	}
	if len(pages) > limit {
		return nil, false
	}
	extended := slices.Clone(pages)
	for _, entry := range planEntries(j) {
		size := encodedSize([]records.PlacementEntry{entry})
		i := slices.IndexFunc(extended, func(page *pageBuilder) bool { return page.size+size <= pc.encoding.MaxValueBytes() })
		if i < 0 {
			page := pc.beginPage(extended, limit)
			if page == nil || page.size+size > pc.encoding.MaxValueBytes() {
				for _, s := range saved {
					s.page.truncate(s.entries, s.size)
				}
				return nil, false
			}
			i = len(extended)
			extended = append(extended, page)
		}
		extended[i].add(entry, size)
	}
	return extended, true
}

// beginPage returns a builder for a page that is not among the given ones: the existing page with the most free space,
// or a new page. It returns nil if the transaction can't have another page.
func (pc *placementCommits) beginPage(others []*pageBuilder, limit int) *pageBuilder {
	if len(others) >= min(limit, pc.encoding.MaxOps()) {
		return nil
	}
	if page := pc.rewriteEmptiestPage(others); page != nil {
		return page
	}
	// Pages are created in the order of their numbers and by one transaction at a time. Therefore a transaction whose
	// conditions cover all existing pages and the next one fails if any placement is committed concurrently.
	number := pc.replica.NextPlacementPage()
	if _, busy := pc.busyPages[number]; busy {
		return nil
	}
	for _, page := range others {
		if page.version == 0 {
			number = page.number + 1
		}
	}
	return &pageBuilder{number: number, size: emptyPageBytes}
}

// rewriteEmptiestPage returns a builder for the existing page with the most free space among those that no transaction
// is writing, or nil if none has enough.
func (pc *placementCommits) rewriteEmptiestPage(others []*pageBuilder) *pageBuilder {
	maxSize := int(maxPageFill * float64(pc.encoding.MaxValueBytes()))
	emptiest, smallest := uint64(0), maxSize
	for _, n := range pc.replica.PlacementPages() {
		if !pc.pageIdle(n) || slices.ContainsFunc(others, func(page *pageBuilder) bool { return page.number == n }) {
			continue
		}
		if size := pc.estimateLiveSize(n); size < smallest {
			emptiest, smallest = n, size
		}
	}
	if emptiest == 0 {
		return nil
	}
	if page := pc.newPageBuilder(emptiest); page.size <= maxSize {
		return page
	}
	return nil
}

// estimateLiveSize estimates the size in bytes that a page would have without the archived jobs.
func (pc *placementCommits) estimateLiveSize(n uint64) int {
	size := emptyPageBytes
	page := pc.replica.PlacementPage(n)
	for i := range page.Entries {
		if j := pc.jobs[page.Entries[i].Job]; j == nil || !j.Archived() {
			size += entryOverheadBytes + placementBytes*min(len(page.Entries[i].Open), job.TasksPerShard)
		}
	}
	return size
}

// planEntries returns a job's planned placements as entries of placement pages.
func planEntries(j *Job) []records.PlacementEntry {
	var entries []records.PlacementEntry
	for _, placement := range j.plan {
		index := placement.Task / job.TasksPerShard
		i := slices.IndexFunc(entries, func(e records.PlacementEntry) bool { return e.Index == index })
		if i < 0 {
			i = len(entries)
			entries = append(entries, records.PlacementEntry{Job: j.ID, Index: index})
		}
		entries[i].Open = append(entries[i].Open, placement)
		entries[i].LastAttempt = max(entries[i].LastAttempt, placement.Attempt)
	}
	return entries
}

// encodedSize returns the size in bytes of a page with the given entries. For a single entry this is an upper bound of
// the size by which the entry increases a page.
func encodedSize(entries []records.PlacementEntry) int {
	value, err := records.EncodePlacementPage(entries)
	if err != nil {
		panic(err) // numbers and strings can always be encoded
	}
	return wire.JSONSize(value)
}

// mergeEntries merges the entries of a page that are for the same range of tasks. The ranges keep the order of their
// first entries.
func mergeEntries(entries []records.PlacementEntry) []records.PlacementEntry {
	type taskRange struct {
		job   string
		index int
	}
	positions := map[taskRange]int{}
	merged := make([]records.PlacementEntry, 0, len(entries))
	for _, entry := range entries {
		key := taskRange{entry.Job, entry.Index}
		i, known := positions[key]
		if !known {
			positions[key] = len(merged)
			merged = append(merged, entry)
			continue
		}
		same := &merged[i]
		same.Open = append(slices.Clip(same.Open), entry.Open...)
		same.LastAttempt = max(same.LastAttempt, entry.LastAttempt)
		same.DoneSet = job.UnionDoneSets(same.DoneSet, entry.DoneSet)
		same.Usage = same.Usage.Plus(entry.Usage)
	}
	return merged
}
