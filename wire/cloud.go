package wire

// States of a rented machine; Running is shared with users.
const (
	MachineBooting = "booting"
	MachineFailed  = "failed"
)

// MachineType is an entry of the catalog. Prices are an hour.
type MachineType struct {
	Name      string   `msgpack:"label"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"gpus"`
	MemoryGB  float64  `msgpack:"ram_gb"`
	CacheGB   float64  `msgpack:"cache_gb"`
	FetchGBs  float64  `msgpack:"pull_gb_per_s"`
	Price     float64  `msgpack:"price"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootS     float64  `msgpack:"startup_s"`
	Zones     []string `msgpack:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `msgpack:"rigs"`
}

// RentalRequest asks the cloud for machines. A name that was used is never used again: a repeated request gets the same
// machines.
type RentalRequest struct {
	Name  string `msgpack:"hire"`
	Type  string `msgpack:"rig"`
	Zone  string `msgpack:"yard"`
	Spot  bool   `msgpack:"loaners"`
	Count int    `msgpack:"how_many"`
}

// MachineNames is the answer to Rent and the body of a release.
type MachineNames struct {
	Machines []string `msgpack:"berths"`
}

// Machine is an entry of the cloud's list.
type Machine struct {
	Name  string  `msgpack:"ref"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"rig"`
	Zone  string  `msgpack:"yard"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []Machine `msgpack:"berths"`
	More     bool      `msgpack:"has_next"`
}
