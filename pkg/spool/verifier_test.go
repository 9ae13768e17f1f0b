package spool_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func TestVerifierText(t *testing.T) {
	c := qt.New(t)
	verifier := spool.Verifier{
		Iterations: 4096,
		Salt:       []byte("0123456789abcdef"),
		StoredKey:  bytes.Repeat([]byte{1}, 32),
		ServerKey:  bytes.Repeat([]byte{2}, 32),
	}
	text := verifier.String()
	read, err := spool.ParseVerifier(text)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, verifier)
	tests := []struct{ name, from, to, reason string }{
		{"Mechanism", "SCRAM-SHA-256", "SCRAM-SHA-1", "verifier does not begin with .*"},
		{"Plain", text, "secret", "verifier does not begin with .*"},
		{"FewIterations", "4096", "4095", "verifier's iterations .*"},
		{"ManyIterations", "4096", "1000001", "verifier's iterations .*"},
		{"NoIterations", "4096", "", "verifier's iterations .*"},
		{"NoSalt", "MDEyMzQ1Njc4OWFiY2RlZg==", "", "verifier's salt .*"},
		{"ShortSalt", "MDEyMzQ1Njc4OWFiY2RlZg==", "MDEy", "verifier's salt .*"},
		{"NoKeys", text[strings.LastIndex(text, "$"):], "", "verifier has no stored key"},
		{"NoServerKey", text[strings.LastIndex(text, ":"):], "", "verifier's server key .*"},
		{"ShortStoredKey", "$AQEB", "$", "verifier's stored key .*"},
		{"Trailing", text, text + "x", "verifier's server key .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := spool.ParseVerifier(strings.Replace(text, test.from, test.to, 1))
			qt.Assert(t, err, qt.ErrorMatches, test.reason)
		})
	}
}
