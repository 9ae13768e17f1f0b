package front

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"corianderspool.example/spool/pkg/spool"
)

const (
	mechanism      = "SCRAM-SHA-256"
	mockIterations = 4096
	saltSize       = 16
)

// parseVerifier reads a verifier as the credentials that the exchange needs.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	verifier, err := spool.ParseVerifier(text)
	if err != nil {
		return scram.StoredCredentials{}, eris.Wrap(err, "read a verifier")
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
		StoredKey:  verifier.StoredKey,
		ServerKey:  verifier.ServerKey,
	}, nil
}

// mockVerifiers stand in for unknown keys, so that an exchange doesn't show whether a key exists.
type mockVerifiers struct {
	secret []byte
}

func newMockVerifiers() mockVerifiers {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret)
	return mockVerifiers{secret: secret}
}

// credentials returns the same salt each time that a name is tried, and keys that no password matches.
func (mock mockVerifiers) credentials(name string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(mock.derive("salt", name)[:saltSize]), Iters: mockIterations},
		StoredKey:  mock.derive("stored", name),
		ServerKey:  mock.derive("server", name),
	}
}

func (mock mockVerifiers) derive(purpose, name string) []byte {
	hash := hmac.New(sha256.New, mock.secret)
	_, _ = hash.Write([]byte(purpose + "\x00" + name))
	return hash.Sum(nil)
}

func newConversation(credentials scram.StoredCredentials) (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "set up "+mechanism)
	}
	return server.NewConversation(), nil
}
