package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashToken returns the stored form of a token: its SHA-256 in hexadecimal. Tokens are long and
// random, so a fast hash without salt is sufficient.
//
//	stored := config.HashToken("team-secret")
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Principal is a team or an operator, which authenticates with any of its tokens. The config
// contains only their hashes (HashToken).
type Principal struct {
	TokenHashes []string `json:"token_hashes"`
}

// PrincipalByToken returns the name of the principal that a token belongs to. It compares every
// hash, in constant time, so that its duration reveals nothing about the token.
//
//	team, found := config.PrincipalByToken(config.Teams, token)
func PrincipalByToken(principals map[string]Principal, token string) (string, bool) {
	hashed := []byte(HashToken(token))
	owner, found := "", false
	for name, principal := range principals {
		for _, known := range principal.TokenHashes {
			if subtle.ConstantTimeCompare(hashed, []byte(known)) == 1 {
				owner, found = name, true
			}
		}
	}
	return owner, found
}
