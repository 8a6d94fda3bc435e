package scale

// ClaimedGrowth is the growth that docs/CAPACITY.md claims, by dimension and figure. A run fails if
// a figure grows faster.
var ClaimedGrowth = map[string]map[string]Growth{
	"nodes": {
		"hollow.messages_per_s":          Flat,
		"hollow.bytes_in_per_s":          Flat,
		"hollow.bytes_out_per_s":         Flat,
		"hollow.cores":                   Flat,
		"hollow.memory_mib":              Flat,
		"control.leader.cores":           Linear,
		"control.leader.messages_per_s":  Linear,
		"control.leader.bytes_out_per_s": Linear,
		"control.most.memory_mib":        Linear,
		"config.bytes_in_per_hollow":     Flat,
	},
	"runners": {
		"view.kib":          Linear,
		"hollow.memory_mib": Linear,
		"front.memory_mib":  Linear,
	},
	"routes": {
		"view.kib":                   Linear,
		"config.bytes_in_per_hollow": Linear,
		"config.control_memory_mib":  Linear,
		"config.front_processor_s":   Linear,
		"hollow.memory_mib":          Linear,
		"front.memory_mib":           Linear,
	},
	"changes": {
		"small_change.control_processor_s": Flat,
		"small_change.in_force_median_s":   Flat,
	},
	"turns": {
		"turns.stores_cores":       Linear,
		"turn.stores_received_kib": Flat,
		"turn.stores_sent_kib":     Flat,
	},
	"history": {
		"turn.stores_sent_kib":     Linear,
		"turn.stores_processor_ms": Linear,
		"turn.begin_median_s":      Linear,
		"turn.stores_received_kib": Flat,
	},
	"groups": {
		"store.cores":          Linear,
		"store.messages_per_s": Linear,
		"store.memory_mib":     Linear,
	},
	"programs": {
		"programs.store_memory_mib":  Linear,
		"programs.store_processor_s": Linear,
		"restart.store_s":            Linear,
	},
}
