// Command rosemaryctl is the command-line client for operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type arguments struct {
	Control     []string      `arg:"--control,separate,env:ROSEMARY_CONTROL" help:"operators' URL of a control instance; repeatable, tried in turn; comma-separated in the environment [default: http://127.0.0.1:7300]"`
	OperatorKey string        `arg:"--key,env:ROSEMARY_KEY" help:"operator key"`
	Authority   string        `arg:"--authority,env:ROSEMARY_AUTHORITY" help:"PEM file of the authority that signs the control instances, for https URLs"`
	JSON        bool          `arg:"--json" help:"print JSON for programs"`
	Operation   string        `arg:"--operation" help:"operation id of a change; repeating a change with the same id returns the first answer"`
	Wait        bool          `arg:"--wait" help:"return once the change is in force in every living daemon"`
	Timeout     time.Duration `arg:"--timeout" default:"30s" help:"maximum time for --wait"`

	Contract    *contractCommand    `arg:"subcommand:contract" help:"contracts"`
	Key         *keyCommand         `arg:"subcommand:key" help:"callers' and operators' keys"`
	Adapter     *adapterCommand     `arg:"subcommand:adapter" help:"adapter versions"`
	Model       *modelCommand       `arg:"subcommand:model" help:"base models"`
	Service     *serviceCommand     `arg:"subcommand:service" help:"plain services"`
	Server      *serverCommand      `arg:"subcommand:server" help:"backend servers"`
	Limits      *limitsCommand      `arg:"subcommand:limits" help:"limits in force: usage, leases and refusals by clause"`
	Members     *membersCommand     `arg:"subcommand:members" help:"members of the replicated log"`
	Status      *statusCommand      `arg:"subcommand:status" help:"control instances, daemons and servers"`
	Watch       *watchCommand       `arg:"subcommand:watch" help:"status, refreshed periodically"`
	Config      *configCommand      `arg:"subcommand:config" help:"export and import the whole configuration"`
	Ask         *askCommand         `arg:"subcommand:ask" help:"send a request to an entry as a caller"`
	Claim       *claimCommand       `arg:"subcommand:claim" help:"outcome of a call with an Idempotency-Key"`
	Certificate *certificateCommand `arg:"subcommand:certificate" help:"certificates for the connections between the system's processes"`
	Completion  *completionCommand  `arg:"subcommand:completion" help:"print a shell completion script"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "rosemaryctl drives rosemarypass: contracts, adapters, backend servers and the control instances."
}

// Version is shown by --version.
func (arguments) Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "rosemaryctl, of an unknown build"
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", modified"
		}
	}
	return fmt.Sprintf("rosemaryctl %s, revision %s%s, %s", info.Main.Version, revision, modified, info.GoVersion)
}

const defaultControl = "http://127.0.0.1:7300"

// command is a subcommand.
type command interface {
	run(ctx context.Context, t *tool) error
}

// tool holds the client, the outputs and the options that commands use.
type tool struct {
	client  *operator.Client
	out     io.Writer
	errors  io.Writer
	json    bool
	wait    bool
	timeout time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, line []string, out, errOut io.Writer) exitCode {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "rosemaryctl", Out: out}, &args)
	if err != nil {
		panic("rosemaryctl: invalid argument declarations: " + err.Error())
	}
	if code, done := parse(parser, args, line, out, errOut); done {
		return code
	}
	cmd := asCommand(parser.Subcommand())
	if cmd == nil {
		_ = parser.WriteHelpForSubcommand(errOut, parser.SubcommandNames()...)
		return exitUsage
	}
	t, err := newTool(args, out, errOut)
	if err != nil {
		fmt.Fprintln(errOut, "rosemaryctl:", err)
		return exitUsage
	}
	if err := cmd.run(ctx, t); err != nil {
		return t.reportError(err)
	}
	t.warnUnconfirmed()
	return exitOK
}

func parse(parser *arg.Parser, args arguments, line []string, out, errOut io.Writer) (exitCode, bool) {
	switch err := parser.Parse(line); err {
	case nil:
		return exitOK, false
	case arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK, true
	case arg.ErrVersion:
		fmt.Fprintln(out, args.Version())
		return exitOK, true
	default:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintln(errOut, "rosemaryctl:", err)
		return exitUsage, true
	}
}

func asCommand(subcommand any) command {
	cmd, _ := subcommand.(command)
	return cmd
}

func newTool(args arguments, out, errOut io.Writer) (*tool, error) {
	urls := args.Control
	if len(urls) == 0 {
		urls = []string{defaultControl}
	}
	options := operator.Options{URLs: urls, Key: args.OperatorKey, Operation: args.Operation}
	if args.Authority != "" {
		client, err := operator.NewHTTPClient(args.Authority)
		if err != nil {
			return nil, err
		}
		options.HTTP = client
	}
	return &tool{
		client:  operator.NewClient(options),
		out:     out,
		errors:  errOut,
		json:    args.JSON,
		wait:    args.Wait,
		timeout: args.Timeout,
	}, nil
}
