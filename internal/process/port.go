package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress returns a loopback address that nobody listens on. A process binds it a moment
// later, and again whenever it is restarted: so its port is not one of the ephemeral ports,
// which the system could assign to another connection or listener in between.
func FreeAddress() (string, error) {
	const (
		from  = 16_000
		to    = 32_000 // ephemeral ports are above
		tries = 100
	)
	var lastErr error
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", from+rand.IntN(to-from))
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port: %w", lastErr)
}
