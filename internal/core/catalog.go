package core

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// catalogKey is the key of the catalog of machine types.
const catalogKey = job.KeyRoot + "catalog"

const (
	// catalogRetryInterval is the time between requests to the cloud while the machine types are unknown.
	catalogRetryInterval = config.Second
	// catalogRefreshInterval is the time between the requests of a leader that already has them.
	catalogRefreshInterval = 30 * config.Second
)

// catalogState records the origin of a core's catalog of machine types.
type catalogState struct {
	catalogVersion     uint64 // version of the stored catalog, also if it is unreadable; 0 if there is none
	catalogStored      bool   // whether the stored catalog has the machine types that this node goes by
	catalogRequestedAt Micros // time of the last request to the cloud, 0 if there was none
}

// fetchCatalogIfDue requests the machine types from the cloud if a request is due. No job can be admitted
// without them, so a node that has read the records and found none requests them at once. The leader
// refreshes them regularly.
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

// catalogDone applies the machine types received from the cloud. The leader stores them in the state
// service, so that nodes that start during an outage of the cloud can read them.
func (c *Core) catalogDone(done msg.CatalogDone) {
	c.dropInvalidTypes(&done.Catalog)
	if done.Outcome != msg.OK || len(done.Catalog.Types) == 0 {
		return
	}
	same := c.sameMachineTypes(&done.Catalog)
	c.setCatalog(&done.Catalog)
	c.catalogStored = c.catalogStored && same
	if c.leader.Ready() && !c.catalogStored {
		c.storeCatalog(&done.Catalog)
	}
}

// dropInvalidTypes removes the machine types from a catalog that can't be computed with, and logs them.
func (c *Core) dropInvalidTypes(catalog *wire.Catalog) {
	catalog.Types = slices.DeleteFunc(catalog.Types, func(t wire.MachineType) bool {
		if t.Valid() {
			return false
		}
		c.outbox.Log("machine type ignored: an amount is out of range", "type", t.Name)
		return true
	})
}

// sameMachineTypes reports whether a catalog has the same machine types with the same resources as the current one.
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

// storeCatalog writes the machine types to the state service, unless they exceed the size limit of a value. The write
// replaces the version that this node knows, so that a late copy of it fails. It is repeated with the next catalog
// until it succeeds.
func (c *Core) storeCatalog(catalog *wire.Catalog) {
	value, err := job.Encode(catalog)
	if err != nil || !c.encoding.Fits(value) {
		return
	}
	transaction := wire.Transaction{
		Conditions: []wire.Condition{{Key: catalogKey, Version: c.catalogVersion}},
		Changes:    []wire.Change{{Put: catalogKey, Value: value}},
	}
	c.outbox.Commit(transaction, msg.PurposeOther, func(done msg.CommitDone) {
		if done.Outcome == msg.OK && done.Revision > c.catalogVersion {
			c.catalogVersion = done.Revision
			c.catalogStored = true
		}
	})
}

// applyCatalog applies a change of the stored machine types. Versions that are not newer are ignored. The known types
// are kept if the stored ones are deleted, can't be decoded or are all invalid.
func (c *Core) applyCatalog(change *wire.Change) {
	if change.Version <= c.catalogVersion {
		return
	}
	c.catalogVersion = change.Version
	c.catalogStored = false
	if change.Put == "" {
		c.catalogVersion = 0
		return
	}
	var catalog wire.Catalog
	if job.Decode(change.Value, &catalog) != nil {
		return
	}
	c.dropInvalidTypes(&catalog)
	if len(catalog.Types) > 0 {
		c.setCatalog(&catalog)
		c.catalogStored = true
	}
}

func (c *Core) setCatalog(catalog *wire.Catalog) {
	c.catalog.Set(catalog)
	c.leader.CatalogChanged()
}
