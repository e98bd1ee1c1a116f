package core_test

import (
	"math"
	"runtime"
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// acceptsJobFor reports whether the leader creates the record of a job for machines of the given type.
func (f *fleet) acceptsJobFor(t *testing.T, machineType string) bool {
	t.Helper()
	return commitsKey(f.submit(t, "j-7", machineType), func(key string) bool { return key == job.RecordKey("j-7") })
}

// Guards against a leader that ends for lack of memory, because it keeps a number for each GPU of a machine type.
func TestMemoryDoesNotGrowWithGPUsOfAMachine(t *testing.T) {
	const gpus = 4_000_000
	f := newFleet(t, 2)
	before := heapBytes()
	f.storeCatalog(t, wire.MachineType{Name: "vast", CPUs: 16, GPUs: gpus, MemoryGB: 64, Price: 4, SpotPrice: 2,
		BootS: 50, Zones: []string{"a", "b"}})
	f.takeOver(t)
	in := f.idleHeartbeat(t, 2)
	in.Heartbeat.Type = "vast"
	f.step(1, in)
	f.runCycle()
	if grown := int64(heapBytes()) - int64(before); grown > gpus {
		t.Errorf("the heap has grown by %d bytes with a machine of %d GPUs, want less than a byte each", grown, gpus)
	}
	runtime.KeepAlive(f)
}

// Guards against machine types whose amounts are no numbers that can be computed with: the sums of free capacity would
// be lost for all other types.
func TestInvalidMachineTypesAreIgnored(t *testing.T) {
	f := newFleet(t, 2)
	valid := wire.MachineType{CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4, SpotPrice: 2, BootS: 50, Zones: []string{"a"}}
	var types []wire.MachineType
	for name, change := range map[string]func(*wire.MachineType){
		"infinite cores": func(m *wire.MachineType) { m.CPUs = math.Inf(1) },
		"negative GPUs":  func(m *wire.MachineType) { m.GPUs = -4 },
		"too many GPUs":  func(m *wire.MachineType) { m.GPUs = 1e12 },
		"memory is NaN":  func(m *wire.MachineType) { m.MemoryGB = math.NaN() },
		"boot time":      func(m *wire.MachineType) { m.BootS = math.Inf(1) },
		"price":          func(m *wire.MachineType) { m.Price = math.NaN() },
	} {
		invalid := valid
		invalid.Name = name
		change(&invalid)
		types = append(types, invalid)
	}
	f.storeCatalog(t, types...)
	f.takeOver(t)
	for _, m := range types {
		if f.acceptsJobFor(t, m.Name) {
			t.Errorf("%s: a job for machines of that type alone is accepted, want it refused", m.Name)
		}
	}
	if !f.acceptsJobFor(t, "t4") {
		t.Error("a job for machines of a valid type is refused, want it accepted")
	}
}
