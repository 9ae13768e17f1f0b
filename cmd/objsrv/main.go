// Command objsrv runs an in-memory test server for the platform's object API.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/pkg/spool"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// flags are the command-line flags of the program.
type flags struct {
	Address   string
	Members   string
	Tokens    string
	MemberLag time.Duration
}

func main() {
	flags := flags{Address: "127.0.0.1:0"}
	flaggy.SetName("objsrv")
	flaggy.SetDescription("Stand-in for the platform's object API, in memory.")
	flaggy.String(&flags.Address, "a", "address", "Address to listen on")
	flaggy.String(&flags.Members, "m", "members", "JSON file with the list of Member objects to begin with")
	flaggy.String(&flags.Tokens, "t", "tokens", "JSON file that maps bearer tokens to what they may write")
	flaggy.Duration(&flags.MemberLag, "l", "member-lag", "Delay of changes of the list of VMs")
	flaggy.Parse()
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, "objsrv:", err)
		os.Exit(1)
	}
}

func run(flags flags) error {
	members, err := load[[]spool.Member](flags.Members)
	if err != nil {
		return err
	}
	tokens, err := load[map[string][]string](flags.Tokens)
	if err != nil {
		return err
	}
	server := objsrv.New(objsrv.WithAddress(flags.Address), objsrv.WithTokens(tokens))
	server.SetMembers(members)
	server.SetMemberLag(flags.MemberLag)
	if err := server.Start(); err != nil {
		return err
	}
	fmt.Println(server.URL())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return server.Close()
}

// load decodes a JSON file and rejects unknown fields; it returns the zero value for an empty path.
func load[T any](path string) (T, error) {
	var value T
	if path == "" {
		return value, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return value, eris.Wrap(err, "open JSON file")
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return value, eris.Wrapf(decoder.Decode(&value), "decode %q", path)
}
