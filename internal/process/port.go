package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress returns a loopback address that nobody listens on. A process binds it a moment
// later, and again whenever it is restarted: so it is none of those that the system
// hands out by itself, to the next connection or listener that asks for any.
func FreeAddress() (string, error) {
	const from, to, tries = 16_000, 32_000, 100 // systems hand out ports above
	var last error
	for range tries {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", from+rand.IntN(to-from)))
		if err != nil {
			last = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port: %w", last)
}
