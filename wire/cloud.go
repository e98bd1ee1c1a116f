package wire

// States of a rented machine, besides Running, which is a job state too.
const (
	MachineBooting = "booting"
	MachineFailed  = "failed"
)

// MachineType is an entry of the catalog. Prices are per hour.
type MachineType struct {
	Name        string   `msgpack:"label"`
	CPUs        float64  `msgpack:"cores"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"ram_gb"`
	CacheGB     float64  `msgpack:"cache_gb"`
	FetchGBPerS float64  `msgpack:"pull_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"spot_price"`
	BootS       float64  `msgpack:"startup_s"`
	Zones       []string `msgpack:"yards"`
}

// Valid reports whether the resources, the boot time and the prices are numbers from 0 to MaxAmount.
func (t *MachineType) Valid() bool {
	for _, amount := range [...]float64{
		t.CPUs, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBPerS, t.Price, t.SpotPrice, t.BootS,
	} {
		if !validAmount(amount) {
			return false
		}
	}
	return true
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `msgpack:"rigs"`
}

// RentalRequest requests machines of the cloud. A request that is repeated under the same name returns the same
// machines, so a name is never reused for another request.
type RentalRequest struct {
	Name  string `msgpack:"hire"`
	Type  string `msgpack:"rig"`
	Zone  string `msgpack:"yard"`
	Spot  bool   `msgpack:"loaners"`
	Count int    `msgpack:"how_many"`
}

// MachineNames is the response to a RentalRequest and the body of a release.
type MachineNames struct {
	Machines []string `msgpack:"berths"`
}

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	Name  string  `msgpack:"ref"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"rig"`
	Zone  string  `msgpack:"yard"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// MachineList is one page of the cloud's list of machines.
type MachineList struct {
	Machines []Machine `msgpack:"berths"`
	More     bool      `msgpack:"has_next"`
}
