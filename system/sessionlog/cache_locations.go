package sessionlog

import "slices"

// maxCacheLocations bounds the cache locations of a session. It has room for the main
// conversation and a few concurrent helpers (sub-agents).
const maxCacheLocations = 8

// CacheLocation identifies the runner that served the last turn of a conversation and therefore
// probably has the prompt in its prefix cache. It is a hint for runner selection; a stale or
// missing one is harmless. It is replicated with the turns, so it is available to all fronts and
// survives power loss.
type CacheLocation struct {
	// Conversation names the sequence of turns within the program.
	Conversation string
	// Runner identifies an incarnation of the runner.
	Runner string
	// Tokens is the number of tokens of the conversation that the runner has processed or
	// generated.
	Tokens uint64
}

// recordCacheLocation records the runner of the turn that a command ends. The newest location
// comes last. The oldest one is dropped when there are maxCacheLocations.
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

// cacheLocation returns the location of a conversation. For an unknown conversation it returns
// the newest location: the prompt of a new helper usually begins with the prompt of the turn
// that ended last.
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
