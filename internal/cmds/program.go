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
	programName    = "corianderspool"
	commandTimeout = 30 * time.Second
)

// Server runs a proxy until the context ends, then drains it.
type Server interface {
	Run(ctx context.Context, settings config.Settings, logger *zap.Logger) error
}

// ServerFunc is a function that implements Server.
type ServerFunc func(ctx context.Context, settings config.Settings, logger *zap.Logger) error

// Run calls serverFunc.
func (serverFunc ServerFunc) Run(ctx context.Context, settings config.Settings, logger *zap.Logger) error {
	return serverFunc(ctx, settings, logger)
}

// FleetFunc runs a proxy of a fleet until the context ends; it returns an InvalidError if settings are missing or
// invalid.
type FleetFunc func(ctx context.Context, logger *zap.Logger) error

// ConnectFunc returns a client of the object API at a URL; the token may be empty.
type ConnectFunc func(url, token string) spool.Platform

// Program is the command line.
type Program struct {
	server      Server
	fleet       FleetFunc
	connect     ConnectFunc
	actor       string
	input       io.Reader
	output      io.Writer
	errorOutput io.Writer
	client      *http.Client
}

// Option configures a Program.
type Option func(program *Program)

// WithServer sets the server that the serve subcommand runs.
func WithServer(server Server) Option {
	return func(program *Program) { program.server = server }
}

// WithFleet sets the function that the fleet subcommand runs.
func WithFleet(fleet FleetFunc) Option {
	return func(program *Program) { program.fleet = fleet }
}

// WithConnect sets the function that connects to the object API.
func WithConnect(connect ConnectFunc) Option {
	return func(program *Program) { program.connect = connect }
}

// WithActor sets the default of --actor, the name in entries of the audit log.
func WithActor(actor string) Option {
	return func(program *Program) { program.actor = actor }
}

// WithStreams replaces standard input, output and error output.
func WithStreams(input io.Reader, output, errorOutput io.Writer) Option {
	return func(program *Program) {
		program.input = input
		program.output = output
		program.errorOutput = errorOutput
	}
}

// New returns a program that uses the standard streams.
func New(options ...Option) *Program {
	program := &Program{
		input:       os.Stdin,
		output:      os.Stdout,
		errorOutput: os.Stderr,
		client:      &http.Client{Timeout: commandTimeout},
	}
	for _, option := range options {
		option(program)
	}
	return program
}

// command is a subcommand with its implementation.
type command struct {
	*flaggy.Subcommand
	run func(ctx context.Context) Code
}

// newCommand returns a subcommand without run, which the caller sets.
func newCommand(name, description, examples string) *command {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	subcommand.AdditionalHelpAppend = "\nExamples:\n" + examples + "\n\n" + exitCodesHelp
	return &command{Subcommand: subcommand}
}

// Run executes the subcommand in arguments, which exclude the program name, and returns the exit code. Invalid
// arguments and --help exit the process.
func (program *Program) Run(ctx context.Context, arguments []string) Code {
	parser := flaggy.NewParser(programName)
	parser.Description = "A database proxy with session consistency, shared by several partners."
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = "\n" + exitCodesHelp
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
	_, _ = fmt.Fprintf(program.errorOutput, "%s: %v\n", programName, err)
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
