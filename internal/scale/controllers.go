package scale

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/config"
	"coralhub/internal/jobclient"
	"coralhub/internal/process"
	"coralhub/internal/wait"
)

type controller struct {
	*process.Process
	name, zone, listen, peerListen string
}

// controllerSettings is the operators' settings file of the controllers. Metrics are enabled because they
// are sampled, and idle machines are kept for an hour so that the fleet keeps its size.
const controllerSettings = `{"metrics": true, "idle_return_s": 3600}`

// readyPollInterval is how often readiness is probed while a controller starts.
const readyPollInterval = 20 * time.Millisecond

// readyTimeout is the time within which all controllers must be ready.
const readyTimeout = 60 * time.Second

// startControllers starts a region's controllers, distributed over its zones in turn, and waits until all
// are ready.
func (r *region) startControllers(ctx context.Context) error {
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(r.dir, "operators.json")
	if err := os.WriteFile(settings, []byte(controllerSettings), 0o600); err != nil {
		return err
	}
	zones := r.settings.zoneNames()
	for i := range r.settings.Controllers {
		c := &controller{name: fmt.Sprintf("%s-node-%d", r.name, i), zone: zones[i%len(zones)]}
		for _, address := range []*string{&c.listen, &c.peerListen} {
			var err error
			if *address, err = process.FreeAddress(); err != nil {
				return err
			}
		}
		r.controllers = append(r.controllers, c)
	}
	for _, c := range r.controllers {
		if err := r.startController(c, settings); err != nil {
			return err
		}
	}
	return r.waitUntilReady(ctx)
}

// startController writes the configuration file of a controller and starts its process.
func (r *region) startController(c *controller, settings string) error {
	p := config.Platform{
		Node:         c.name,
		Location:     c.zone,
		ClientListen: c.listen,
		PeerListen:   c.peerListen,
		Cluster:      r.settings.cluster(),
		External:     config.External{State: r.stateAddress, Cloud: r.cloudAddress},
	}
	for _, peer := range r.controllers {
		if peer != c {
			p.Peers = append(p.Peers, config.Peer{Node: peer.name, Location: peer.zone, Address: peer.peerListen})
		}
	}
	raw, err := toml.Marshal(&p)
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, c.name+".toml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	c.Process, err = process.Start(process.Options{
		Program: r.run.Program,
		Args:    append(r.run.ServeArgs, "--settings", settings, "--config", file),
		Env:     []string{"LOG_LEVEL=" + r.run.LogLevel},
		Log:     filepath.Join(r.dir, c.name+".log"),
	})
	return err
}

// waitUntilReady waits until all controllers are ready or readyTimeout has passed.
func (r *region) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for _, c := range r.controllers {
		for !jobclient.Ready(ctx, client, c.listen) {
			if !wait.For(ctx, readyPollInterval) {
				return fmt.Errorf("wait for %s to become ready, see %s: %w", c.name, filepath.Join(r.dir, c.name+".log"), ctx.Err())
			}
		}
	}
	return nil
}

// kill kills the controller if it was started, and waits until it has exited.
func (c *controller) kill() {
	if c.Process != nil {
		kill(c.Process)
	}
}

// kill kills a process and waits until it has exited.
func kill(p *process.Process) {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.Done()
	}
}
