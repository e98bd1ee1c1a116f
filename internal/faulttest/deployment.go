package faulttest

import (
	"math/rand/v2"
	"slices"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// deployment returns the description of the deployment that the platform gives to the nodes.
func (s *Scenario) deployment() config.Cluster {
	d := &s.Deploy
	c := config.Cluster{
		Size:   d.Nodes,
		Zones:  d.Zones,
		SkewMS: 25,
		Workers: config.Workers{
			ReportS: d.ReportS, LeaseS: d.LeaseS, GangWaitS: 20, GangPeerS: 3, CancelS: d.CancelS,
		},
		State:  config.State{RPS: d.RPS, WriteRPS: d.WriteRPS, ValueKB: 8, TxnOps: 12},
		Cloud:  config.Cloud{RPS: 8, ListLagS: d.ListLagS},
		Limits: config.Limits{Cores: 1, MemoryMB: 512, MaxConnections: 4000},
	}
	for _, name := range s.teams() {
		c.Teams = append(c.Teams, config.Team{Name: name, GPUs: d.Guaranteed, GPUsMax: d.TeamGPUs})
	}
	return c
}

// teams lists the teams of the classes without duplicates, in the order in which the classes first name
// them.
func (s *Scenario) teams() []string {
	var teams []string
	for _, c := range s.Classes {
		if !slices.Contains(teams, c.Team) {
			teams = append(teams, c.Team)
		}
	}
	return teams
}

// clusterOptions returns the options of the cluster that the scenario needs. The callbacks OnEvent and OnFailure
// are not set.
func (s *Scenario) clusterOptions(opt *Options) cluster.Options {
	d := &s.Deploy
	return cluster.Options{
		Program:      opt.Program,
		Dir:          opt.Dir,
		Nodes:        d.Nodes,
		Settings:     opt.Settings,
		LogLevel:     opt.LogLevel,
		Cluster:      s.deployment(),
		Capacity:     emulator.CapacityByZone(d.Machines, d.Zones),
		BootTime:     config.FromSeconds(d.BootS),
		RestartAfter: wait.Seconds(d.RestartAfterS),
		Types: []wire.MachineType{{
			Name: "m", CPUs: 16 * d.GPUs, GPUs: d.GPUs, MemoryGB: 64 * d.GPUs, CacheGB: 500, FetchGBPerS: 0.4,
			Price: 4, SpotPrice: 2, BootS: d.BootS, Zones: d.Zones,
		}},
		Model: &emulator.Model{
			Rand:            rand.New(rand.NewPCG(opt.Seed, 1)),
			BootSpread:      0.3,
			BootFailureRate: d.BootNeverShare,
			ListLag:         config.FromSeconds(d.ListLagS),
			SpeedSpread:     d.SpeedSpread,
			SpotCapacity:    emulator.CapacityByZone(d.Spot, d.Zones),
			BootTimeFactor:  1,
		},
	}
}
