package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/pkg/spool"
)

const (
	name           = "corianderspool"
	commandTimeout = 30 * time.Second
)

// Server runs a proxy until the context ends, then drains it.
type Server interface {
	Run(ctx context.Context, settings config.Settings, logger *zap.Logger) error
}

// ServerFunc makes a function a Server.
type ServerFunc func(ctx context.Context, settings config.Settings, logger *zap.Logger) error

// Run calls the function.
func (serverFunc ServerFunc) Run(ctx context.Context, settings config.Settings, logger *zap.Logger) error {
	return serverFunc(ctx, settings, logger)
}

// FleetFunc runs a proxy of a fleet until the context ends; its errors name the settings that are wrong.
type FleetFunc func(ctx context.Context, logger *zap.Logger) error

// ConnectFunc returns a client of the object API at a URL; the token may be empty.
type ConnectFunc func(url, token string) spool.Platform

// Program is the command line.
type Program struct {
	server  Server
	fleet   FleetFunc
	connect ConnectFunc
	actor   string
	input   io.Reader
	output  io.Writer
	errors  io.Writer
	client  *http.Client
}

// Option configures a Program.
type Option func(program *Program)

// WithServer sets what serve runs.
func WithServer(server Server) Option {
	return func(program *Program) { program.server = server }
}

// WithFleet sets what fleet runs.
func WithFleet(fleet FleetFunc) Option {
	return func(program *Program) { program.fleet = fleet }
}

// WithConnect sets how the object API is reached.
func WithConnect(connect ConnectFunc) Option {
	return func(program *Program) { program.connect = connect }
}

// WithActor sets the name that the audit trail shows unless a flag gives another.
func WithActor(actor string) Option {
	return func(program *Program) { program.actor = actor }
}

// WithStreams sets standard input, output and error output.
func WithStreams(input io.Reader, output, errors io.Writer) Option {
	return func(program *Program) {
		program.input = input
		program.output = output
		program.errors = errors
	}
}

// New returns a program on the standard streams.
func New(options ...Option) *Program {
	program := &Program{
		input:  os.Stdin,
		output: os.Stdout,
		errors: os.Stderr,
		client: &http.Client{Timeout: commandTimeout},
	}
	for _, option := range options {
		option(program)
	}
	return program
}

// command is a subcommand and what it does.
type command struct {
	*flaggy.Subcommand
	run func(ctx context.Context) Code
}

// newCommand describes a subcommand; its caller sets run.
func newCommand(name, description, examples string) *command {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	subcommand.AdditionalHelpAppend = "\nExamples:\n" + examples + "\n\n" + codesHelp
	return &command{Subcommand: subcommand}
}

// Run carries out the command line without the program's own name; wrong arguments and --help end the process.
func (program *Program) Run(ctx context.Context, arguments []string) Code {
	parser := flaggy.NewParser(name)
	parser.Description = "A database proxy with session consistency, shared by several partners."
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = "\n" + codesHelp
	commands := program.commands()
	for _, command := range commands {
		parser.AttachSubcommand(command.Subcommand, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return program.fail(Invalid, err)
	}
	for _, command := range commands {
		if command.Used {
			return command.run(ctx)
		}
	}
	parser.ShowHelp()
	return Invalid
}

func (program *Program) commands() []*command {
	return []*command{
		program.serve(),
		program.fleetCommand(),
		program.check(),
		program.push(),
		program.withdraw(),
		program.status(),
		program.audit(),
		program.verifier(),
		program.version(),
	}
}

func (program *Program) fail(code Code, err error) Code {
	_, _ = fmt.Fprintf(program.errors, "%s: %v\n", name, err)
	return code
}

func (program *Program) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(program.output, format, arguments...)
}

func (program *Program) printJSON(value any) {
	encoder := json.NewEncoder(program.output)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
