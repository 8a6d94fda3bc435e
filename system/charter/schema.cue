// What a yardrock charter may hold. Every duration is a Go duration text.
#Name:     =~"^[a-z0-9][a-z0-9_.-]{0,62}$"
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"

#Charter: {
	// operators may administer; only hashes (SHA-256, hex) are kept.
	operators: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	teams: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	programs: [#Name]: {
		team: #Name
		// words that the program may speak in one period
		allowance: int & >0
		// words that one answer may hold; it is cut there
		turn_limit: int & >0 & <=100000
		// a new period text starts the tally anew
		period: #Name | *"first"
		// how long the program's lines are kept after their last event
		keep: #Duration | *"24h"
	}
	// groups of runners, as the platform's list names them
	groups: [#Name]: {
		concurrency: int & >0 | *8
		cold_concurrency: int & >0 | *1
		ramp: #Duration | *"10s"
	}
	// weight tables: how a kind of work is shared among groups
	tables: [#Name]: [#Name]: number & >=0
	kinds: [#Name]: {
		serves: "turn" | "plain"
		table: #Name
		// work that may not be repeated needs a request key and a record
		repeatable: bool | *true
		urgency: "urgent" | "normal" | "bulk" | *"normal"
		patience: #Duration | *"20s"
		path: =~"^/[ -~]*$" | *"/"
	}
	limits: {
		body_bytes: int & >=1024 & <=16777216 | *1048576
		// waiting queries per urgency on one front
		queue: int & >=0 & <=100000 | *200
		queue_patience: #Duration | *"2s"
	}
	platform: {
		runner_list: =~"^http://" | *""
		poll: #Duration | *"1s"
	}
}
