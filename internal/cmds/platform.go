package cmds

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// platformFlags are the flags of commands that call the object API.
type platformFlags struct {
	url       string
	tokenFile string
	json      bool
}

func (flags *platformFlags) attach(command *command) {
	command.String(&flags.url, "p", "platform", "URL of the platform's object API")
	command.String(&flags.tokenFile, "t", "token-file", "file with the token for the object API")
	command.Bool(&flags.json, "j", "json", "print the result as JSON")
}

func (program *Program) platform(flags *platformFlags) (spool.Platform, error) {
	if flags.url == "" {
		return nil, eris.New("--platform is missing")
	}
	if program.connect == nil {
		return nil, eris.New("this build has no client of the object API")
	}
	token := ""
	if flags.tokenFile != "" {
		text, err := os.ReadFile(flags.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the token")
		}
		token = strings.TrimSpace(string(text))
	}
	return program.connect(flags.url, token), nil
}
