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
	scramMechanism = "SCRAM-SHA-256"
	mockIterations = 4096
	saltSize       = 16
)

// parseVerifier parses a SCRAM verifier into stored credentials.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	verifier, err := spool.ParseVerifier(text)
	if err != nil {
		return scram.StoredCredentials{}, eris.Wrap(err, "parse SCRAM verifier")
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
		StoredKey:  verifier.StoredKey,
		ServerKey:  verifier.ServerKey,
	}, nil
}

// mockVerifiers derives credentials for unknown keys, so that an exchange does not reveal whether a key exists.
type mockVerifiers struct {
	secret []byte
}

func newMockVerifiers() mockVerifiers {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret)
	return mockVerifiers{secret: secret}
}

// credentials returns a salt that is constant per name, and keys that match no password.
func (mockVerifiers mockVerifiers) credentials(name string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(mockVerifiers.derive("salt", name)[:saltSize]), Iters: mockIterations},
		StoredKey:  mockVerifiers.derive("stored", name),
		ServerKey:  mockVerifiers.derive("server", name),
	}
}

func (mockVerifiers mockVerifiers) derive(purpose, name string) []byte {
	hash := hmac.New(sha256.New, mockVerifiers.secret)
	_, _ = hash.Write([]byte(purpose + "\x00" + name))
	return hash.Sum(nil)
}

func newConversation(credentials scram.StoredCredentials) (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "set up "+scramMechanism)
	}
	return server.NewConversation(), nil
}
