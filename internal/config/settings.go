package config

// Settings are the operators' settings. Their meanings and allowed values are described in settings.schema.json.
type Settings struct {
	AgeWeight          float64 `json:"age_weight"`
	ShareWeight        float64 `json:"share_weight"`
	AgeCapS            float64 `json:"age_cap_s"`
	UsageWindowS       float64 `json:"usage_window_s"`
	ScanPeriodS        float64 `json:"scan_period_s"`
	CycleIntervalMS    float64 `json:"pass_interval_ms"`
	LeaderLeaseMS      float64 `json:"leader_lease_ms"`
	DelegationS        float64 `json:"stand_in_s"`
	IdleScaleInS       float64 `json:"idle_return_s"`
	WorkerTimeoutS     float64 `json:"silent_release_s"`
	MemoryShare        float64 `json:"memory_share"`
	BootTimeoutFactor  float64 `json:"boot_give_up_times"`
	ScaleOutSurplus    float64 `json:"rent_surplus"`
	DefragMovesPerS    float64 `json:"gather_per_s"`
	StartWithinS       float64 `json:"begin_within_s"`
	StartDeadlineFirst bool    `json:"in_time_first"`
	ReserveFreedS      float64 `json:"drain_s"`
	ShareFetches       bool    `json:"share_fetches"`
	HoldFormat         bool    `json:"hold_format"`
	PlacementPages     bool    `json:"shared_parts"`

	Estimates           bool    `json:"estimates"`
	EstimateGroups      int     `json:"estimate_groups"`
	Admin               bool    `json:"admin"`
	Metrics             bool    `json:"metrics"`
	Rank                string  `json:"rank"`
	VictimsByRemaining  bool    `json:"victims_by_remaining"`
	GangsAvoidSlow      bool    `json:"gangs_avoid_slow"`
	SlowFactor          float64 `json:"slow_times"`
	ScaleOutAgainstBoot bool    `json:"rent_against_boot"`
}

// Values of the setting rank, which selects what orders jobs of one priority level before their credit does.
const (
	RankCredit   = "credit"
	RankSlack    = "slack"
	RankShortest = "shortest"
)

// Defaults returns the values of settings that the operators do not set. A WorkerTimeoutS of 0 stands for a time that
// depends on the worker's lease and heartbeat interval, an IdleScaleInS of 0 for one that depends on the boot time of
// the machine's type.
func Defaults() Settings {
	return Settings{
		AgeWeight:          1,
		ShareWeight:        1,
		AgeCapS:            300,
		UsageWindowS:       60,
		ScanPeriodS:        10,
		CycleIntervalMS:    100,
		LeaderLeaseMS:      3000,
		DelegationS:        60,
		IdleScaleInS:       0,
		WorkerTimeoutS:     0,
		MemoryShare:        0.6,
		BootTimeoutFactor:  3,
		ScaleOutSurplus:    0.5,
		DefragMovesPerS:    2,
		StartWithinS:       240,
		StartDeadlineFirst: true,
		ReserveFreedS:      60,
		PlacementPages:     true,
		Estimates:          true,
		EstimateGroups:     512,
		Rank:               RankCredit,
		SlowFactor:         1.3,
	}
}
