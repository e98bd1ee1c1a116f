// Package fairshare parts what all nodes have together by what each of them wants, max-min: who
// wants less than an equal part gets what it wants, and what it leaves goes to the others in
// equal parts. Every node reckons its own part by itself, from what the others have last said.
package fairshare

import "slices"

// Allocate is one's own part of a whole. What nobody wants is spread evenly, so that a node on which
// demand rises has some before the others hear of it.
func Allocate(whole float64, own float64, others []float64) float64 {
	wants := append(slices.Clone(others), own)
	slices.Sort(wants)
	left := whole
	for i, w := range wants {
		equal := left / float64(len(wants)-i)
		if w >= equal { // this one and all that want more get the same
			return min(own, equal)
		}
		left -= w
	}
	return own + left/float64(len(wants))
}
