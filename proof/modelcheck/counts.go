package modelcheck

// OutcomeCounts is the JSON form of Outcomes in a report.
type OutcomeCounts struct {
	Elections      uint64 `json:"elections"`
	Commits        uint64 `json:"commits"`
	ConfirmedReads uint64 `json:"confirmedReads"`
	Changes        uint64 `json:"membershipChanges"`
	Restores       uint64 `json:"checkpointsRestored"`
}

func (outcomes *Outcomes) counts() OutcomeCounts {
	return OutcomeCounts{
		Elections: outcomes.Elections, Commits: outcomes.Commits, ConfirmedReads: outcomes.ConfirmedReads,
		Changes: outcomes.Changes, Restores: outcomes.Restores,
	}
}

func (outcomes *Outcomes) actionCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for kind, count := range outcomes.Actions {
		counts[ActionKind(kind).String()] = count
	}
	return counts
}
