package cmds

import (
	"bufio"
	"context"
	"crypto/rand"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"corianderspool.example/spool/pkg/spool"
)

const (
	saltBytes        = 16
	minSecretBytes   = 8
	maxSecretBytes   = 1024
	verifierExamples = `  corianderspool verifier < secret.txt`
)

func (program *Program) verifier() *command {
	command := newCommand("verifier", "read a secret on standard input and print its verifier", verifierExamples)
	iterations := spool.MinVerifierIterations
	command.Int(&iterations, "i", "iterations", "rounds of the hash, which a caller computes at login")
	command.run = func(context.Context) Code { return program.runVerifier(iterations) }
	return command
}

func (program *Program) runVerifier(iterations int) Code {
	if iterations < spool.MinVerifierIterations || iterations > spool.MaxVerifierIterations {
		return program.fail(Invalid, eris.Errorf("--iterations is not between %d and %d",
			spool.MinVerifierIterations, spool.MaxVerifierIterations))
	}
	line, _ := bufio.NewReader(io.LimitReader(program.input, maxSecretBytes+1)).ReadString('\n')
	secret := strings.TrimRight(line, "\r\n")
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return program.fail(Invalid, eris.Errorf("the length of the secret on standard input is not between %d and %d bytes",
			minSecretBytes, maxSecretBytes))
	}
	verifier, err := newVerifier(secret, iterations)
	if err != nil {
		return program.fail(Invalid, err)
	}
	program.printf("%s\n", verifier)
	return Success
}

func newVerifier(secret string, iterations int) (spool.Verifier, error) {
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		return spool.Verifier{}, eris.Wrap(err, "prepare the secret")
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return spool.Verifier{}, eris.Wrap(err, "generate a salt")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return spool.Verifier{}, eris.Wrap(err, "compute the verifier")
	}
	return spool.Verifier{
		Iterations: iterations,
		Salt:       salt,
		StoredKey:  stored.StoredKey,
		ServerKey:  stored.ServerKey,
	}, nil
}
