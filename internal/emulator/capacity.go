package emulator

// CapacityByZone distributes machines evenly over zones. If they don't divide evenly, each of the first
// zones has one machine more than the others.
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
