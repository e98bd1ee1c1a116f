package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// catalogKey is the key of the catalog of machine types.
const catalogKey = job.KeyRoot + "catalog"

const (
	// catalogRetryInterval is the time between requests while the machine types are unknown.
	catalogRetryInterval = config.Second
	// catalogRefreshInterval is the time between requests of a leader that knows them.
	catalogRefreshInterval = 30 * config.Second
)

// catalogState is what a core knows about where its catalog of machine types is from.
type catalogState struct {
	catalogVersion     uint64 // of the stored catalog, 0 if there is none
	catalogRequestedAt Micros
}

// fetchCatalogIfDue requests the machine types from the cloud. Without them no job can be admitted: a
// node whose records don't have them requests them at once. The leader refreshes them.
func (c *Core) fetchCatalogIfDue() {
	age := c.outbox.Now() - c.catalogRequestedAt
	missing := !c.catalog.Known() && c.loaded
	retryDue := c.catalogRequestedAt == 0 || age > catalogRetryInterval
	refreshDue := c.leader.Ready() && age > catalogRefreshInterval
	if missing && retryDue || refreshDue {
		c.catalogRequestedAt = c.outbox.Now()
		c.outbox.Emit(msg.FetchCatalog{})
	}
}

// catalogDone applies the machine types of the cloud. The leader stores them in the key-value store,
// so that nodes that start during an outage of the cloud know them.
func (c *Core) catalogDone(done msg.CatalogDone) {
	if done.Outcome != msg.OK || len(done.Catalog.Types) == 0 {
		return
	}
	same := c.sameMachineTypes(&done.Catalog)
	c.setCatalog(&done.Catalog)
	if c.leader.Ready() && (!same || c.catalogVersion == 0) {
		c.storeCatalog(&done.Catalog)
	}
}

// sameMachineTypes reports whether the machine types and their resources are those that this node knows.
func (c *Core) sameMachineTypes(catalog *wire.Catalog) bool {
	if len(c.catalog.Types) != len(catalog.Types) {
		return false
	}
	for i := range catalog.Types {
		t := &catalog.Types[i]
		known := c.catalog.Types[t.Name]
		if known == nil || known.CPUs != t.CPUs || known.GPUs != t.GPUs || known.MemoryGB != t.MemoryGB {
			return false
		}
	}
	return true
}

// storeCatalog writes the machine types to the key-value store, unless they are too large.
func (c *Core) storeCatalog(catalog *wire.Catalog) {
	value, err := job.Encode(catalog)
	if err != nil || !c.encoding.Fits(value) {
		return
	}
	transaction := wire.Transaction{Changes: []wire.Change{{Put: catalogKey, Value: value}}}
	c.outbox.Commit(transaction, msg.PurposeOther, func(done msg.CommitDone) {
		if done.Outcome == msg.OK && done.Revision > c.catalogVersion {
			c.catalogVersion = done.Revision
		}
	})
}

// applyCatalog applies a change of the stored machine types. A value that cannot be decoded is ignored.
func (c *Core) applyCatalog(change *wire.Change) {
	if change.Put == "" || change.Version <= c.catalogVersion {
		return
	}
	var catalog wire.Catalog
	if job.Decode(change.Value, &catalog) != nil {
		return
	}
	c.catalogVersion = change.Version
	c.setCatalog(&catalog)
}

func (c *Core) setCatalog(catalog *wire.Catalog) {
	c.catalog.Set(catalog)
	c.leader.CatalogChanged()
}
