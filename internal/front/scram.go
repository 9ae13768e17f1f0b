package front

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const (
	mechanism      = "SCRAM-SHA-256"
	mockIterations = 4096
	saltSize       = 16
)

// parseVerifier reads SCRAM-SHA-256$iterations:salt$stored:server.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var credentials scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return credentials, eris.New("verifier is not of the form " + mechanism + "$iterations:salt$stored:server")
	}
	iterations, salt, _ := strings.Cut(parts[1], ":")
	stored, server, _ := strings.Cut(parts[2], ":")
	count, err := strconv.Atoi(iterations)
	if err != nil || count < 1 {
		return credentials, eris.New("verifier has an invalid number of iterations")
	}
	saltBytes, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return credentials, eris.Wrap(err, "salt of a verifier")
	}
	credentials.KeyFactors = scram.KeyFactors{Salt: string(saltBytes), Iters: count}
	if credentials.StoredKey, err = decodeKey(stored); err != nil {
		return credentials, err
	}
	credentials.ServerKey, err = decodeKey(server)
	return credentials, err
}

func decodeKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, eris.Wrap(err, "key of a verifier")
	}
	if len(key) != sha256.Size {
		return nil, eris.Errorf("key of a verifier has %d bytes instead of %d", len(key), sha256.Size)
	}
	return key, nil
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
