package core_test

import (
	"slices"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
)

// deletesMachines reports whether a leader with the given settings requests the deletion of a machine within a minute,
// while the workers send heartbeats every 5 s. One machine is idle, the others have tasks.
func deletesMachines(t *testing.T, change func(*config.Settings)) bool {
	t.Helper()
	f := newFleet(t, 2)
	cfg := fleetConfig(2)
	change(&cfg.Settings)
	f.takeOverWithConfig(t, cfg)
	var effects []msg.Effect
	for range 12 {
		for _, in := range []msg.Input{f.heartbeat(0, nil), f.heartbeat(1, nil), f.idleHeartbeat(t, 2)} {
			effects = append(effects, f.step(1, in)...)
		}
		for range 5 {
			effects = append(effects, f.renewAndTick()...)
		}
	}
	return slices.ContainsFunc(effects, func(e msg.Effect) bool {
		_, deletes := e.(msg.ScaleIn)
		return deletes
	})
}

// Guards against machines that are deleted at once, with their tasks, because an operator's "never" in the settings is
// too long for a duration and becomes negative.
func TestLongSettingsDeleteNoMachine(t *testing.T) {
	const never = 1e15 // seconds
	keepIdle := func(s *config.Settings) { s.IdleScaleInS = never }
	if deletesMachines(t, keepIdle) {
		t.Error("a machine was deleted with idle machines kept for 1e15 s")
	}
	keepSilent := func(s *config.Settings) { s.IdleScaleInS, s.WorkerTimeoutS = 600, never }
	if deletesMachines(t, keepSilent) {
		t.Error("a machine was deleted with silent machines kept for 1e15 s")
	}
	if !deletesMachines(t, func(s *config.Settings) { s.IdleScaleInS = 10 }) {
		t.Error("no machine was deleted with idle machines kept for 10 s: the test detects no deletion")
	}
}
