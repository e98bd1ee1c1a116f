// Package fairshare divides a quota among nodes by max-min fairness: a node that demands less than an equal
// share is allocated its demand, and the remainder is divided equally among the other nodes. Every node
// computes its own share from the latest demands that the other nodes have reported.
package fairshare

import (
	"math"
	"slices"
)

// Allocate returns the share of total for the node whose demand is own. What exceeds the sum of the demands is
// divided equally, so that a node whose demand rises has a surplus before the other nodes receive its new demand.
// A demand of another node that is negative or not a number counts as an equal share.
func Allocate(total, own float64, others []float64) float64 {
	demands := append(slices.Clone(others), own)
	for i, demand := range demands {
		if math.IsNaN(demand) || demand < 0 {
			demands[i] = total / float64(len(demands))
		}
	}
	slices.Sort(demands)
	left := total
	for i, demand := range demands {
		equal := left / float64(len(demands)-i)
		if demand >= equal { // this and all larger demands get the same share
			return min(own, equal)
		}
		left -= demand
	}
	return own + left/float64(len(demands))
}
