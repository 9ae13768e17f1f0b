package spool

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a verifier's iterations and sizes.
const (
	MinVerifierIterations = 4096 // RFC 7677
	MaxVerifierIterations = 1_000_000
	minVerifierSaltBytes  = 8
	verifierKeyBytes      = 32
	verifierPrefix        = "SCRAM-SHA-256$"
)

// Verifier holds the SCRAM-SHA-256 keys that verify a caller's secret without containing it.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// String returns the text form SCRAM-SHA-256$iterations:salt$stored:server that PostgreSQL stores.
func (verifier Verifier) String() string {
	encode := base64.StdEncoding.EncodeToString
	salt := encode(verifier.Salt)
	stored := encode(verifier.StoredKey)
	server := encode(verifier.ServerKey)
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, verifier.Iterations, salt, stored, server)
}

// ParseVerifier parses the text form of a verifier; its errors do not contain the text.
func ParseVerifier(text string) (Verifier, error) {
	rest, found := strings.CutPrefix(text, verifierPrefix)
	if !found {
		return Verifier{}, errors.New("verifier does not begin with " + verifierPrefix)
	}
	head, tail, found := strings.Cut(rest, "$")
	if !found {
		return Verifier{}, errors.New("verifier has no stored key")
	}
	iterations, salt, err := parseVerifierSalt(head)
	if err != nil {
		return Verifier{}, err
	}
	storedText, serverText, _ := strings.Cut(tail, ":")
	stored, err := parseVerifierKey("stored key", storedText)
	if err != nil {
		return Verifier{}, err
	}
	server, err := parseVerifierKey("server key", serverText)
	if err != nil {
		return Verifier{}, err
	}
	return Verifier{Iterations: iterations, Salt: salt, StoredKey: stored, ServerKey: server}, nil
}

func parseVerifierSalt(text string) (int, []byte, error) {
	countText, saltText, _ := strings.Cut(text, ":")
	iterations, err := strconv.Atoi(countText)
	if err != nil || iterations < MinVerifierIterations || iterations > MaxVerifierIterations {
		return 0, nil, fmt.Errorf("verifier's iterations are not between %d and %d",
			MinVerifierIterations, MaxVerifierIterations)
	}
	salt, err := base64.StdEncoding.Strict().DecodeString(saltText)
	if err != nil || len(salt) < minVerifierSaltBytes {
		return 0, nil, fmt.Errorf("verifier's salt is not base64 of at least %d bytes", minVerifierSaltBytes)
	}
	return iterations, salt, nil
}

func parseVerifierKey(part, text string) ([]byte, error) {
	key, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(key) != verifierKeyBytes {
		return nil, fmt.Errorf("verifier's %s is not base64 of %d bytes", part, verifierKeyBytes)
	}
	return key, nil
}
