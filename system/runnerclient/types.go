package runnerclient

// Message is one utterance of a conversation.
type Message struct {
	// Role is "caller", "model", "tool_call" or "tool_result"; Name is the tool's.
	Role  string `json:"role"`
	Name  string `json:"name,omitempty"`
	Words string `json:"words"`
}

// TurnRequest is what a model runner gets.
type TurnRequest struct {
	Conversation string `json:"conversation"`
	// Turn is the seq of the turn in its conversation.
	Turn uint64 `json:"turn"`
	// History is what was said before, oldest first; Words is what is said now.
	History []Message `json:"history"`
	Words   string    `json:"words"`
	// Limit is how many words the answer may have; what is longer is cut off.
	Limit uint64 `json:"limit"`
}

// PlainRequest is what an application runner gets.
type PlainRequest struct {
	Program string `json:"program"`
	Kind    string `json:"kind"`
	// RequestKey is the caller's idempotency key; "" if the work may run more than once.
	RequestKey string `json:"query_key,omitempty"`
	Words      string `json:"words"`
}

// streamPiece is one line of a model runner's stream.
type streamPiece struct {
	Piece string `json:"piece"`
	End   bool   `json:"end"`
}
