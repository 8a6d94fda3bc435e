// What a yardrock configuration may hold. Every duration is a Go duration text.
#Name:     =~"^[a-z0-9][a-z0-9_.-]{0,62}$"
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$"
// What the operators of routing call their routes, services and hosts.
#Label: =~"^[!-~]{1,255}$"

// A route is how requests for a host are forwarded whose path begins with a prefix.
#Route: {
	name:     #Label
	host:     =~"^[!-.0-~]{1,255}$"
	prefix:   =~"^/([!-~]*/)?$"
	kind:     "repeatable" | "once" | "streaming"
	patience: #Duration
	target:   #Duration | *"0s"
	gap:      #Duration | *"0s"
	// 0 is the most urgent
	urgency: int & >=0 & <=1000 | *0
	shares: [...{service: #Label, weight: number & >=0}]
	tries:         int & >=1 & <=1000 | *1
	keeps_history: bool | *false
	keep:          #Duration | *"0s"
	sticky:        bool | *false
	resumable:     bool | *false
	// the item as its operator wrote it
	written?: _
}

// A service is a group of runners that do the same work.
#Service: {
	name:             #Label
	health_path:      =~"^/[ -~]*$" | *"/"
	most_connections: int & >=0 | *0
	cold_for:         #Duration | *"0s"
	cold_rate:        number & >=0 | *0
	engine?: {
		slots:            int & >=0
		cache_tokens:     int & >=0 | *0
		tokens_per_event: int & >=0 | *0
	}
	written?: _
}

#Routing: {
	// rises with every change, unevenly
	revision: int & >=0
	routes: [...#Route]
	services: [...#Service]
	bounds: {
		header_bytes: int & >=0 | *0
		body_bytes:   int & >=0 | *0
		header_wait:  #Duration | *"0s"
		idle:         #Duration | *"0s"
		written?:     _
	}
	// requests that were accepted already
	taken: [...{revision: int & >=0, digest: string}] | *[]
	// parts that this version does not know, as they were written
	unread?: _
}

#Config: {
	// operators may administer; only hashes (SHA-256, hex) are kept.
	operators: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	teams: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	programs: [#Name]: {
		team: #Name
		// quota: words that the program may put out in one period
		allowance: int & >0
		// words that one answer may hold; it is cut there
		turn_limit: int & >0 & <=100000
		// a new period text starts the quota's usage anew
		period: #Name | *"first"
		// retention: how long the program's sessions are kept after their last event
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
		// waiting requests per urgency on one front
		queue: int & >=0 & <=100000 | *200
		queue_patience: #Duration | *"2s"
	}
	platform: {
		runner_list: =~"^http://" | *""
		poll: #Duration | *"1s"
	}
	// whether a beginning that conversations of one route have in common is stored once
	openings?: share: bool | *false
	// how requests are forwarded unchanged; left out, the current routing stays
	routing?: #Routing
}
