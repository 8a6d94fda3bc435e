package runnerclient

// Message is one entry of a conversation history.
type Message struct {
	// Role is "caller", "model", "tool_call" or "tool_result". Name is the name of the tool.
	Role string `json:"role"`
	Name string `json:"name,omitempty"`
	Text string `json:"words"`
}

// TurnRequest is the request body sent to a model runner.
type TurnRequest struct {
	Conversation string `json:"conversation"`
	// Turn is the sequence number of the turn in its conversation.
	Turn uint64 `json:"turn"`
	// History is the preceding messages, oldest first, without the turn's own input.
	History []Message `json:"history"`
	Input   string    `json:"words"`
	// MaxWords is the maximum number of words in the response; a longer one is truncated.
	MaxWords uint64 `json:"limit"`
}

// PlainRequest is the request body sent to an application runner.
type PlainRequest struct {
	Program string `json:"program"`
	Kind    string `json:"kind"`
	// IdempotencyKey is the client's idempotency key; empty if the work may run more than once.
	IdempotencyKey string `json:"query_key,omitempty"`
	Input          string `json:"words"`
}

// streamPart is one line of a model runner's response stream.
type streamPart struct {
	Text string `json:"piece"`
	End  bool   `json:"end"`
}
