// Package fairshare divides what all nodes have together by their demands, max-min fair: whoever wants less
// than an equal share gets what it wants, and what it leaves is divided equally among the others. Every
// node computes its own share, from the demands that the others have last reported.
package fairshare

import "slices"

// Allocate returns the share of a total that belongs to the node with the demand own. What nobody wants is
// spread evenly, so that a node whose demand rises has some before the others learn of it.
func Allocate(total, own float64, others []float64) float64 {
	demands := append(slices.Clone(others), own)
	slices.Sort(demands)
	left := total
	for i, demand := range demands {
		equal := left / float64(len(demands)-i)
		if demand >= equal { // this one and all that want more get the same
			return min(own, equal)
		}
		left -= demand
	}
	return own + left/float64(len(demands))
}
