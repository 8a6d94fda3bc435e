// Schema of the yardrock config. Durations have the format of Go's time.ParseDuration.
#Name:     =~"^[a-z0-9][a-z0-9_.-]{0,62}$"
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$"
// Name of a route or service in the routing.
#Label: =~"^[!-~]{1,255}$"

// A route defines how requests for a host whose path starts with a prefix are forwarded.
#Route: {
	name:     #Label
	host:     =~"^[!-.0-~]{1,255}$"
	prefix:   =~"^/([!-~]*/)?$"
	kind:     "repeatable" | "once" | "streaming" | "keyed"
	patience: #Duration         // timeout of a request
	target:   #Duration | *"0s" // for the time to the first byte of the answer; 0 is no target
	gap:      #Duration | *"0s" // target for the time between events; 0 is no target
	// 0 is the most urgent
	urgency: int & >=0 & <=1000 | *0
	shares: [...{service: #Label, weight: number & >=0}]
	tries:         int & >=1 & <=1000 | *1 // maximum number of runners that a request is sent to
	keeps_history: bool | *false           // the fleet stores the turns; a request contains only new input
	keep:          #Duration | *"0s"       // retention of the stored turns after the last event
	sticky:        bool | *false           // prefer the runner that served the session last
	resumable:     bool | *false           // an interrupted stream may be executed again
	public:        bool | *false           // open to requests without a tenant's key
	// the route as its operator wrote it
	written?: _
}

// A service is a group of interchangeable runners.
#Service: {
	name:             #Label
	health_path:      =~"^/[ -~]*$" | *"/"
	most_connections: int & >=0 | *0    // of all fronts together to one runner; 0 is no limit
	cold_for:         #Duration | *"0s" // how long a runner warms up after its start
	cold_rate:        number & >=0 | *0 // requests per second to a runner that warms up; 0 is no limit
	deduplicates:     bool | *false     // the runners answer repeated operations themselves
	engine?: {
		slots:            int & >=0
		cache_tokens:     int & >=0 | *0
		tokens_per_event: int & >=0 | *0
	}
	written?: _
}

// A tenant is a client organization; its requests bear one of its keys.
#Tenant: {
	name: #Label
	// only hashes of the keys (SHA-256, hex) are needed
	key_hashes: [...=~"^[0-9a-f]{64}$"] | *[]
	urgency?: int & >=0 & <=1000 // replaces that of the routes
	rate:     number & >=0 | *0  // requests per second through all fronts; 0 is no limit
	burst:    number & >=0 | *0  // requests above the rate at a time
	written?: _
}

#Routing: {
	// increases with every change, not always by 1
	revision: int & >=0
	routes: [...#Route]
	services: [...#Service]
	tenants?: [...#Tenant]
	// requests need the key of a tenant even if there are no tenants
	tenants_only?: bool
	bounds: {
		header_bytes: int & >=0 | *0
		body_bytes:   int & >=0 | *0
		header_wait:  #Duration | *"0s" // timeout for the header; 0 selects the default
		idle:         #Duration | *"0s" // timeout of an idle connection; 0 selects the default
		written?:     _
	}
	// routing requests that were accepted, so that a retry is recognized
	taken: [...{revision: int & >=0, digest: string}] | *[]
	// fields unknown to this version, as they were written
	unread?: _
}

#Config: {
	// operators may use the admin API; only token hashes (SHA-256, hex) are stored
	operators: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	teams: [#Name]: token_hashes: [...=~"^[0-9a-f]{64}$"]
	programs: [#Name]: {
		team: #Name
		// quota: maximum number of words that the program may use in one period
		allowance: int & >0
		// maximum number of words of one answer; a longer one is truncated
		turn_limit: int & >0 & <=100000
		// a new value resets the quota usage
		period: #Name | *"first"
		// retention: how long the program's sessions are kept after their last event
		keep: #Duration | *"24h"
	}
	// runner groups, named as in the platform's runner list; the limits are per runner
	groups: [#Name]: {
		concurrency: int & >0 | *8
		cold_concurrency: int & >0 | *1 // while the runner warms up
		ramp: #Duration | *"10s" // how long a runner warms up after its start
	}
	// weight tables: how a kind of work is distributed over runner groups
	tables: [#Name]: [#Name]: number & >=0
	kinds: [#Name]: {
		serves: "turn" | "plain"
		table: #Name
		// work that is not repeatable needs an idempotency key (query_key) and is recorded
		repeatable: bool | *true
		urgency: "urgent" | "normal" | "bulk" | *"normal"
		patience: #Duration | *"20s" // how long a client waits for the answer
		path: =~"^/[ -~]*$" | *"/"
	}
	limits: {
		body_bytes: int & >=1024 & <=16777216 | *1048576
		// maximum number of queued requests of each urgency on one front
		queue: int & >=0 & <=100000 | *200
		queue_patience: #Duration | *"2s" // how long a request may be queued
	}
	platform: {
		runner_list: =~"^http://" | *""
		poll: #Duration | *"1s"
	}
	// whether a common prefix of the conversations of one route is stored only once
	openings?: share: bool | *false
	// routing of requests that are forwarded unchanged; if omitted, the current routing is kept
	routing?: #Routing
}
