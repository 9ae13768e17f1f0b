package front_test

import (
	"encoding/base64"
	"fmt"

	"github.com/xdg-go/scram"
)

func encodeVerifier(stored scram.StoredCredentials) string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s",
		stored.Iters, encode([]byte(stored.Salt)), encode(stored.StoredKey), encode(stored.ServerKey))
}
