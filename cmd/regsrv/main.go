// Command regsrv runs a test server that stands in for a backend server.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// flags are the command-line flags of the program.
type flags struct {
	Address      string
	Control      string
	User         string
	PasswordFile string
	Cleartext    bool
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	Lag          time.Duration
	Term         uint64
	Primary      string
}

func main() {
	flags := flags{Address: "127.0.0.1:0", User: "spool", Slots: 3, Connections: 20}
	flaggy.SetName("regsrv")
	flaggy.SetDescription("Stand-in for a backend server: a register store that speaks the PostgreSQL protocol.")
	flaggy.String(&flags.Address, "a", "address", "Address for clients")
	flaggy.String(&flags.Control, "c", "control", "Address of the HTTP control port; none without it")
	flaggy.String(&flags.User, "u", "user", "The one user")
	flaggy.String(&flags.PasswordFile, "w", "password-file", "File with the user's password, else \"spool\"")
	flaggy.Bool(&flags.Cleartext, "", "cleartext", "Ask for the password in clear instead of SCRAM-SHA-256")
	flaggy.Int(&flags.Slots, "s", "slots", "Statements that execute at once")
	flaggy.Int(&flags.Connections, "n", "connections", "Limit of connections")
	flaggy.Duration(&flags.ConnectDelay, "d", "connect-delay", "Cost of a new connection")
	flaggy.Duration(&flags.Lag, "l", "lag", "How far a replica stays behind")
	flaggy.UInt64(&flags.Term, "t", "term", "Start as primary of this term; zero starts without a role")
	flaggy.String(&flags.Primary, "p", "primary", "Start as replica of the primary at this address")
	flaggy.Parse()
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, "regsrv:", err)
		os.Exit(1)
	}
}

func run(flags flags) error {
	password := "spool"
	if flags.PasswordFile != "" {
		content, err := os.ReadFile(flags.PasswordFile)
		if err != nil {
			return eris.Wrap(err, "read password file")
		}
		password = strings.TrimSpace(string(content))
	}
	options := []regsrv.Option{
		regsrv.WithAddress(flags.Address),
		regsrv.WithControlAddress(flags.Control),
		regsrv.WithLogin(flags.User, password),
		regsrv.WithSlots(flags.Slots),
		regsrv.WithConnectionLimit(flags.Connections),
		regsrv.WithConnectDelay(flags.ConnectDelay),
		regsrv.WithLag(flags.Lag),
		regsrv.WithPrimary(spool.Term(flags.Term)),
		regsrv.WithReplicaOf(flags.Primary),
	}
	if flags.Cleartext {
		options = append(options, regsrv.WithCleartextPassword())
	}
	server := regsrv.New(options...)
	if err := server.Start(); err != nil {
		return err
	}
	fmt.Println(server.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	server.Close()
	return nil
}
