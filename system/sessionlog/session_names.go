package sessionlog

import "strings"

// The names of the sessions that record the turns of programs: a scope, which identifies the tenant
// ("" without one), one of these prefixes, and an identifier. The names are stored.
const (
	// ProgramPrefix precedes the name of a program.
	ProgramPrefix = "program/"
	// ConversationPrefix precedes the name of a conversation without a program.
	ConversationPrefix = "session/"
	// RequestPrefix precedes the ID of a request that names neither.
	RequestPrefix = "query/"
)

// InScope reports whether a session that records turns belongs to a scope. The sessions of the scope
// "" are those without a tenant, not all; and a scope that begins with another is not a part of it.
//
//	if !sessionlog.InScope(turn.Session, "tenant/depot/") { ... }
func InScope(sessionName, scope string) bool {
	rest, found := strings.CutPrefix(sessionName, scope)
	return found && (strings.HasPrefix(rest, ProgramPrefix) || strings.HasPrefix(rest, ConversationPrefix) || strings.HasPrefix(rest, RequestPrefix))
}
