package emulator

// CapacityByZone distributes machines over zones, in numbers that differ by one at most; the first zones
// get more.
func CapacityByZone(machines int, zones []string) map[string]int {
	capacity := make(map[string]int, len(zones))
	for i, zone := range zones {
		capacity[zone] = machines / len(zones)
		if i < machines%len(zones) {
			capacity[zone]++
		}
	}
	return capacity
}
