package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// upFlags holds the flags of up.
type upFlags struct {
	nodes, machines int
	data            string
	dir             string
	settings        string
	listen          string
	logLevel        string
	// repeatCalls and repeatWrites are the fractions of the executed calls and transactions that arrive again.
	repeatCalls, repeatWrites float64
}

func upCommand() *cobra.Command {
	var flags upFlags
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Start a whole cluster on this machine: controller nodes, and emulators of everything else",
		Long: "Start a whole cluster on this machine: controller nodes as processes of this program, and\n" +
			"emulators of the state service, the cloud and the workers, on loopback sockets.\n" +
			"It runs until it is interrupted. With --data, jobs are kept for a later start.",
		Example: "  coralhub up\n  coralhub up --nodes 5 --machines 200 --data ./cluster",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				return flags.run(ctx, cmd.OutOrStdout())
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&flags.nodes, "nodes", 3, "number of controller nodes")
	f.IntVar(&flags.machines, "machines", 40, "number of machines in the cloud")
	f.StringVar(&flags.data, "data", "", "`DIR` in which the state is kept for a later start")
	f.StringVar(&flags.dir, "dir", "", "`DIR` for settings and logs, unless --data is given; by default a new one")
	f.StringVar(&flags.settings, "settings", "", "operators' settings `FILE` for the nodes")
	f.StringVar(&flags.listen, "listen", "127.0.0.1:0", "`ADDRESS` at which users reach the cluster")
	f.StringVar(&flags.logLevel, "log", "info", "log level of the nodes: error, info or debug")
	f.Float64Var(&flags.repeatCalls, "calls-again", 0, "fraction of the executed calls to workers that arrive again")
	f.Float64Var(&flags.repeatWrites, "writes-again", 0,
		"fraction of the executed transactions that the state service executes again")
	return cmd
}

// checkRepeats returns an error that names a flag whose value is no fraction.
func (f *upFlags) checkRepeats() error {
	for name, share := range map[string]float64{"calls-again": f.repeatCalls, "writes-again": f.repeatWrites} {
		if share >= 0 && share <= 1 {
			continue
		}
		return fmt.Errorf("--%s %v: must be between 0 and 1", name, share)
	}
	return nil
}

// copiesOfMessage is the number of copies of each message that arrives again.
const copiesOfMessage = 3

// readyTimeout bounds the time until a started cluster is ready.
const readyTimeout = time.Minute

// run starts a cluster and serves until ctx ends.
func (f *upFlags) run(ctx context.Context, out io.Writer) error {
	if err := f.checkRepeats(); err != nil {
		return err
	}
	opt, err := f.options()
	if err != nil {
		return err
	}
	c, err := cluster.Start(opt)
	if err != nil {
		return err
	}
	defer c.Close()
	c.Servers.RepeatCalls(emulator.Repeats{Share: f.repeatCalls, Copies: copiesOfMessage})
	c.Servers.RepeatWrites(emulator.Repeats{Share: f.repeatWrites, Copies: copiesOfMessage})
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.AwaitReady(ready); err != nil {
		return err
	}
	address, err := c.StartLoadBalancer(f.listen)
	if err != nil {
		return err
	}
	for _, n := range c.Nodes {
		fmt.Fprintf(out, "%s in %s: http://%s\n", n.Name, n.Zone, n.Users.Addr())
	}
	fmt.Fprintf(out, "users: http://%s   logs: %s\n\nTry\n  coralhub load --to %s --jobs 20 --rate 5\n\n"+
		"Press Ctrl-C to stop.\n", address, opt.Dir, address)
	<-ctx.Done()
	return nil
}

// options returns the options of the cluster, and creates its directory.
func (f *upFlags) options() (cluster.Options, error) {
	program, err := os.Executable()
	if err != nil {
		return cluster.Options{}, err
	}
	opt := cluster.Options{
		Program:  program,
		Nodes:    f.nodes,
		Settings: f.settings,
		LogLevel: f.logLevel,
		Cluster:  demoCluster(f.nodes),
		BootTime: 2 * config.Second,
		Types: []wire.MachineType{{Name: "g4", CPUs: 64, GPUs: 4, MemoryGB: 256, CacheGB: 500, FetchGBPerS: 0.4, Price: 8,
			SpotPrice: 3, BootS: 2, Zones: demoZones}},
		Capacity: map[string]int{demoZones[0]: (f.machines + 1) / 2, demoZones[1]: f.machines / 2},
		Model: &emulator.Model{Rand: rand.New(rand.NewPCG(1, 1)), BootSpread: 0.3, ListLag: 2 * config.Second,
			SpeedSpread: 0.1, BootTimeFactor: 1},
		RestartAfter: 2 * time.Second,
		Dir:          f.dir,
	}
	if f.data != "" {
		opt.Dir, opt.StateFile = f.data, filepath.Join(f.data, "state.db")
	}
	if opt.Dir == "" {
		if opt.Dir, err = os.MkdirTemp("", "coralhub-up-"); err != nil {
			return opt, err
		}
	}
	return opt, os.MkdirAll(opt.Dir, 0o700)
}

var demoZones = []string{"a", "b"}

// demoCluster returns the deployment settings of a small cluster for trying out coralhub.
func demoCluster(nodes int) config.Cluster {
	return config.Cluster{Size: nodes, Zones: demoZones, SkewMS: 25, Teams: []config.Team{{Name: "team"}},
		Workers: config.Workers{ReportS: 1, LeaseS: 8, GangWaitS: 20, GangPeerS: 3, CancelS: 16},
		State:   config.State{RPS: 500, WriteRPS: 200, ValueKB: 8, TxnOps: 12}, Cloud: config.Cloud{RPS: 10, ListLagS: 2},
		Limits: config.Limits{Cores: 1, MemoryMB: 512, MaxConnections: 4000}}
}
