package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashToken returns the form in which a token is stored: its SHA-256 in hexadecimal. Tokens are
// long random texts, so a fast hash without salt is enough.
//
//	stored := config.HashToken("team-secret")
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Principal is a team or an operator, who proves its identity by any of its tokens. Only their
// hashes (HashToken) are in the config.
type Principal struct {
	TokenHashes []string `json:"token_hashes"`
}

// PrincipalByToken returns the name of the principal who has a token. Every hash is compared, in
// constant time, so that the time taken says nothing about the token.
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
