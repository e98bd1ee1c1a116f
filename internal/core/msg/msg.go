// Package msg defines the messages of a node's core: the inputs that it handles, and the effects
// that it requests in response.
package msg

import "coralhub/internal/config"

// Micros is a time or a duration in whole microseconds. Times given to a core come from a
// monotonic clock, except for fields named WallClock, which are times of day.
type Micros = config.Micros

// Input is an input of a core: one of the types in inputs.go.
type Input interface{ input() }

// Effect is a request of a core to its node: one of the types in effects.go.
type Effect interface{ effect() }
