package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashToken is how a token is kept.
//
//	stored := config.HashToken("team-secret")
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Principal is a team or an operator, known by the hashes of its tokens.
type Principal struct {
	TokenHashes []string `json:"token_hashes"`
}

// PrincipalByToken finds whose token it is.
//
//	team, found := config.PrincipalByToken(made.Teams, token)
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
