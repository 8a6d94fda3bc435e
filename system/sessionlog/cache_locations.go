package sessionlog

import "slices"

// maxCacheLocations is of how many conversations a session knows the runner: those of the main
// line and of a few sub-agents that run beside it.
const maxCacheLocations = 8

// CacheLocation says which runner served the last turn of a conversation, and so probably has
// its prompt in its prefix cache. It is a hint for the choice of a runner: nothing is wrong if
// it is out of date or lost. It is replicated like the turns themselves, so that all fronts
// find it, also after a power loss.
type CacheLocation struct {
	// Conversation names the line of turns within the program.
	Conversation string
	// Runner is the incarnation of the runner.
	Runner string
	// Tokens is how many tokens of the conversation the runner had read or put out.
	Tokens uint64
}

// recordCacheLocation remembers the runner of the turn that a command ends. The newest
// location comes last; the oldest is dropped if there are too many.
func (session *Session) recordCacheLocation(command *Command) {
	if command.Runner == "" {
		return
	}
	locations := slices.DeleteFunc(slices.Clone(session.CacheLocations), func(location CacheLocation) bool {
		return location.Conversation == command.Conversation
	})
	if len(locations) >= maxCacheLocations {
		locations = locations[1:]
	}
	session.CacheLocations = append(locations, CacheLocation{Conversation: command.Conversation, Runner: command.Runner, Tokens: command.PromptTokens})
}

// cacheLocation returns the location of a conversation. One that is new in the session probably
// begins with the prompt of the turn that ended last, as sub-agents do, so it has that location.
func (session *Session) cacheLocation(conversation string) CacheLocation {
	if len(session.CacheLocations) == 0 {
		return CacheLocation{}
	}
	position := slices.IndexFunc(session.CacheLocations, func(location CacheLocation) bool { return location.Conversation == conversation })
	if position < 0 {
		position = len(session.CacheLocations) - 1
	}
	return session.CacheLocations[position]
}
