// Package design is the goa design of yardrock's HTTP APIs. The packages under api/gen and the
// OpenAPI files are generated from it, in the folder of the system module, with:
//
//	go tool goa gen yardrock.example/system/api/design -o api
package design

import . "goa.design/goa/v3/dsl"

var _ = API("yardrock", func() {
	Title("yardrock")
	Description("A serving tier for agent programs. Every error body has kind, message and remedy.")
	Version("1")
})

// authorizationAttribute declares the attribute that every authenticated method has.
func authorizationAttribute() {
	Attribute("authorization", String, "Bearer token of a team or an operator")
}

// authorizationHeader maps that attribute to the Authorization header.
func authorizationHeader() { Header("authorization:Authorization") }

// workRequest has the attributes that all requests for work have in common.
var workRequest = Type("NewWords", func() {
	Attribute("kind", String, "Kind of work, as named in the config", func() { MaxLength(63) })
	Attribute("words", String, "The new input only, without that of earlier turns")
	Attribute("query_key", String, "Idempotency key; identifies the request when it is sent again", func() { MaxLength(128) })
	Required("kind", "words")
})

// record is one event of a conversation. Optional attributes that are zero are omitted.
var record = Type("Record", func() {
	Attribute("seq", UInt64)
	Attribute("at", String, "Time of the event by the clock of its store group, in RFC 3339 format")
	Attribute("kind", String)
	Attribute("turn", UInt64)
	Attribute("follows", UInt64)
	Attribute("words", String)
	Attribute("outcome", String)
	Attribute("name", String)
	Required("seq", "at", "kind")
})

var transcript = Type("Transcript", func() {
	Attribute("conversation", String)
	Attribute("program", String)
	Attribute("head", UInt64, "Seq of the last event of the conversation, which may be on a later page")
	Attribute("events", ArrayOf(record))
	Required("conversation", "program", "head", "events")
})

var outcome = Type("Outcome", func() {
	Attribute("outcome", String, "Outcome of the work: complete, not_run or unknown")
	Attribute("line", String, "Conversation that records the outcome; omitted if it is not recorded")
	Attribute("answer", Any, "JSON answer of the runner")
	Attribute("repeated", Boolean, "Whether another request with the same query_key started the work")
	Required("outcome")
})

var _ = Service("work", func() {
	Description("Work API for clients of agent programs.")

	Method("start", func() {
		Description("Starts a conversation and streams the answer as newline-delimited JSON.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("program", String, func() { MaxLength(63) })
			Required("program")
		})
		HTTP(func() {
			POST("/v1/conversations")
			authorizationHeader()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/x-ndjson") })
		})
	})

	Method("turn", func() {
		Description("Starts a turn that follows a complete turn of a conversation and streams the answer as newline-delimited JSON.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("conversation", String)
			Attribute("follows", UInt64, "Seq of the turn that this one follows")
			Required("conversation", "follows")
		})
		HTTP(func() {
			POST("/v1/conversations/{conversation}/turns")
			authorizationHeader()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/x-ndjson") })
		})
	})

	Method("tool", func() {
		Description("Calls a tool between turns and records the call and its result as events of the conversation.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("conversation", String)
			Attribute("follows", UInt64, "Seq of the turn that requested the tool call")
			Required("conversation", "follows", "query_key")
		})
		Result(outcome)
		HTTP(func() {
			POST("/v1/conversations/{conversation}/tools")
			authorizationHeader()
		})
	})

	Method("helper", func() {
		Description("Starts a helper conversation, records its name in the parent conversation, and streams the answer as newline-delimited JSON.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("conversation", String)
			Attribute("follows", UInt64, "Seq of the turn of the parent conversation that starts the helper")
			Attribute("program", String, func() { MaxLength(63) })
			Required("conversation", "follows", "program", "query_key")
		})
		HTTP(func() {
			POST("/v1/conversations/{conversation}/helpers")
			authorizationHeader()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/x-ndjson") })
		})
	})

	Method("history", func() {
		Description("Returns a page of the committed events of a conversation, in order and without gaps.")
		Payload(func() {
			authorizationAttribute()
			Attribute("conversation", String)
			Attribute("after", UInt64, func() { Default(0) })
			Attribute("limit", UInt64, func() {
				Default(1000)
				Minimum(1)
				Maximum(4096)
			})
			Required("conversation")
		})
		Result(transcript)
		HTTP(func() {
			GET("/v1/conversations/{conversation}")
			Param("after")
			Param("limit")
			authorizationHeader()
		})
	})

	Method("tail", func() {
		Description("Streams the events after a cursor as newline-delimited JSON as they are committed.")
		Payload(func() {
			authorizationAttribute()
			Attribute("conversation", String)
			Attribute("cursor", UInt64, func() { Default(0) })
			Attribute("turn", UInt64, "Seq of a turn; only its events are streamed, and the stream stops once it has ended")
			Required("conversation")
		})
		HTTP(func() {
			GET("/v1/conversations/{conversation}/tail")
			Param("cursor")
			Param("turn")
			authorizationHeader()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/x-ndjson") })
		})
	})

	Method("lookup", func() {
		Description("Runs repeatable work on an application runner and returns the answer; nothing is recorded.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("program", String, func() { MaxLength(63) })
			Required("program")
		})
		Result(outcome)
		HTTP(func() {
			POST("/v1/lookups")
			authorizationHeader()
		})
	})

	Method("once", func() {
		Description("Runs work at most once on an application runner and records its outcome. Examples are a booking, an invoice and a one-off notice.")
		Payload(func() {
			authorizationAttribute()
			Extend(workRequest)
			Attribute("program", String, func() { MaxLength(63) })
			Required("program", "query_key")
		})
		Result(outcome)
		HTTP(func() {
			POST("/v1/queries")
			POST("/v1/notices")
			authorizationHeader()
		})
	})

	Method("tally", func() {
		Description("Returns the quota of a program and how much of it is spent and reserved, in words.")
		Payload(func() {
			authorizationAttribute()
			Attribute("program", String)
			Required("program")
		})
		Result(func() {
			Attribute("program", String)
			Attribute("allowance", UInt64)
			Attribute("spent", UInt64)
			Attribute("reserved", UInt64)
			Required("program", "allowance", "spent", "reserved")
		})
		HTTP(func() {
			GET("/v1/tallies/{program}")
			authorizationHeader()
		})
	})
})

var changeResult = Type("Changed", func() {
	Attribute("number", UInt64, "Number of the committed change")
	Attribute("acknowledged", Boolean, "Whether a majority of the control nodes and a majority of the stores have synced the change")
	Required("number", "acknowledged")
})

var _ = Service("administration", func() {
	Description("Admin API for operators.")

	Method("put_config", func() {
		Description("Replaces the config.")
		Payload(func() {
			authorizationAttribute()
			Attribute("source", String, "Complete config in CUE")
			Attribute("expected", UInt64, "Number of the config to replace, which must be the current one")
			Required("source", "expected")
		})
		Result(changeResult)
		HTTP(func() {
			PUT("/v1/config")
			authorizationHeader()
		})
	})

	Method("set", func() {
		Description("Changes one value of the config.")
		Payload(func() {
			authorizationAttribute()
			Attribute("path", String, "Dotted path of the value, such as tables.chat.large")
			Attribute("value", Any)
			Attribute("expected", UInt64, "Number of the config to change, which must be the current one; if omitted, the current config is changed")
			Required("path", "value")
		})
		Result(changeResult)
		HTTP(func() {
			PATCH("/v1/config")
			authorizationHeader()
		})
	})

	Method("read_config", func() {
		Description("Returns the current config, confirmed by a quorum.")
		Payload(func() { authorizationAttribute() })
		Result(func() {
			Attribute("number", UInt64)
			Attribute("source", String)
			Required("number", "source")
		})
		HTTP(func() {
			GET("/v1/config")
			authorizationHeader()
		})
	})

	Method("set_domain", func() {
		Description("Drains or refills a domain.")
		Payload(func() {
			authorizationAttribute()
			Attribute("name", String)
			Attribute("state", String, func() { Enum("serving", "emptied") })
			Attribute("force", Boolean, "Drain even the last serving domain", func() { Default(false) })
			Required("name", "state")
		})
		Result(changeResult)
		HTTP(func() {
			POST("/v1/domains/{name}")
			authorizationHeader()
		})
	})

	Method("enrol_store", func() {
		Description("Adds a live store to the store list.")
		Payload(func() {
			authorizationAttribute()
			Attribute("name", String, "Name of the store, which is the identity of its disk")
			Required("name")
		})
		Result(changeResult)
		HTTP(func() {
			PUT("/v1/stores/{name}")
			authorizationHeader()
		})
	})

	Method("retire_store", func() {
		Description("Decommissions a store and returns once its machine may be switched off.")
		Payload(func() {
			authorizationAttribute()
			Attribute("name", String, "Name of the store, which is the identity of its disk")
			Required("name")
		})
		Result(changeResult)
		HTTP(func() {
			DELETE("/v1/stores/{name}")
			authorizationHeader()
		})
	})

	Method("query", func() {
		Description("Runs one statement of the query language: a query, or a command that changes something.")
		Payload(func() {
			authorizationAttribute()
			Attribute("text", String, "Statement, such as: show runners where state = cold")
			Required("text")
		})
		Result(func() {
			Attribute("columns", ArrayOf(String))
			Attribute("rows", ArrayOf(ArrayOf(String)))
			Attribute("number", UInt64, "Number of the change that a command committed")
			Attribute("acknowledged", Boolean)
			Attribute("would", String, "Description of what a dry run would change")
			Required("columns", "rows")
		})
		HTTP(func() {
			POST("/v1/query")
			authorizationHeader()
		})
	})

	Method("fleet", func() {
		Description("Returns the live members of the fleet and the main parts of the current view.")
		Payload(func() { authorizationAttribute() })
		Result(Any)
		HTTP(func() {
			GET("/v1/fleet")
			authorizationHeader()
		})
	})
})

var _ = Service("health", func() {
	Description("Liveness and readiness probes of each process.")
	Method("alive", func() {
		Result(String)
		HTTP(func() { GET("/healthz") })
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() { GET("/readyz") })
	})
})
