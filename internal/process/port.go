package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress returns a loopback address that is not in use. A process binds it some time later, and again
// on each restart. Therefore its port is not an ephemeral one, which the system could assign to another
// connection or listener in between.
func FreeAddress() (string, error) {
	const (
		firstPort   = 16_000
		endPort     = 32_000 // exclusive; ephemeral ports are above
		maxAttempts = 100
	)
	var lastErr error
	for range maxAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d found in %d attempts: %w",
		firstPort, endPort-1, maxAttempts, lastErr)
}
