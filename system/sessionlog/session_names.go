package sessionlog

import (
	"slices"
	"strings"
)

// The names of the sessions that record the turns of programs and the operations: a scope, which
// identifies the tenant ("" without one), one of these prefixes, and an identifier. The names are stored.
// Different tenants, and different identifiers, have different names.
const (
	// ProgramPrefix precedes the name of a program.
	ProgramPrefix = "program/"
	// ConversationPrefix precedes the name of a conversation without a program.
	ConversationPrefix = "session/"
	// RequestPrefix precedes the ID of a request that names neither.
	RequestPrefix = "query/"
	// OperationPrefix precedes the key of an operation.
	OperationPrefix = "operation/"
)

// tenantPrefix precedes the name of a tenant in a scope.
const tenantPrefix = "tenant/"

// turnPrefixes are the prefixes of sessions that record turns, sessionPrefixes all of them.
var (
	turnPrefixes    = []string{ProgramPrefix, ConversationPrefix, RequestPrefix}
	sessionPrefixes = append([]string{OperationPrefix}, turnPrefixes...)
)

// escapedSlash stands for a slash in a scope. No name of a tenant or a route contains it.
const escapedSlash = " "

// TenantScope returns the scope of a tenant's sessions; "" for that of the sessions without a tenant. No
// scope followed by a prefix begins another one.
//
//	name := sessionlog.TenantScope("depot") + sessionlog.ProgramPrefix + "3fa81c"
func TenantScope(tenant string) string {
	if tenant == "" {
		return ""
	}
	if hasSessionPrefix(tenant) {
		tenant = strings.ReplaceAll(tenant, "/", escapedSlash)
	}
	return tenantPrefix + tenant + "/"
}

// hasSessionPrefix reports whether a tenant's name goes on, after a slash, with the prefix of a session.
// Followed by an identifier it could be read as the name of a shorter tenant and one of its sessions: the
// program "program/p" of "depot" and the program "p" of "depot/program".
func hasSessionPrefix(tenant string) bool {
	_, rest, found := strings.Cut(tenant, "/")
	for found {
		if beginsWithAny(rest+"/", sessionPrefixes) {
			return true
		}
		_, rest, found = strings.Cut(rest, "/")
	}
	return false
}

// PrefixScope returns the scope within which the inputs of a route's turns may share a stored prefix.
//
//	turn.PrefixScope = sessionlog.PrefixScope("depot", "talk")
func PrefixScope(tenant, route string) string {
	return TenantScope(tenant) + strings.ReplaceAll(route, "/", escapedSlash)
}

// InScope reports whether a session that records turns belongs to a scope. The sessions of the scope
// "" are those without a tenant, not all; and a scope that begins with another is not a part of it.
// A scope that TenantScope never returns has no sessions: earlier versions asked for such scopes.
//
//	if !sessionlog.InScope(turn.Session, "tenant/depot/") { ... }
func InScope(sessionName, scope string) bool {
	rest, found := strings.CutPrefix(sessionName, scope)
	return found && beginsWithAny(rest, turnPrefixes) && !hasSessionPrefix(tenantOf(scope))
}

// tenantOf returns the part of a scope that identifies its tenant; "" for none.
func tenantOf(scope string) string {
	return strings.TrimSuffix(strings.TrimPrefix(scope, tenantPrefix), "/")
}

// beginsWithAny reports whether a text begins with one of some prefixes.
func beginsWithAny(text string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
}
