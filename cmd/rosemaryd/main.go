// Command rosemaryd is the rosemarypass daemon.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/standin/service"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/platform"
)

type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file (JSON with comments)"`
}

type checkCommand struct {
	Settings string `arg:"--settings,required" help:"settings file to check"`
	Fleet    bool   `arg:"--fleet" help:"check as settings of a fleet process, which finds the other processes by seeds"`
}

type demoCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:8080" help:"address of the callers' interface"`
}

type standinCommand struct {
	Engine  string `arg:"--engine" help:"address of a stand-in engine"`
	Service string `arg:"--service" help:"address of a stand-in plain service"`
	Model   string `arg:"--model" default:"base" help:"the stand-in engine's base model"`
	Slots   int    `arg:"--slots" default:"4" help:"the stand-in engine's adapter slots"`

	Capacity    int           `arg:"--capacity" default:"16" help:"maximum number of requests in a batch"`
	TokenTime   time.Duration `arg:"--token-time" default:"10ms" help:"time between tokens"`
	LoadTime    time.Duration `arg:"--load-time" default:"250ms" help:"duration of an adapter load"`
	ReportLag   time.Duration `arg:"--report-lag" help:"age of the load report"`
	Fencing     bool          `arg:"--fencing" help:"reject commands with an outdated fencing number"`
	FailLoads   []string      `arg:"--fail-load,separate" help:"adapter@version whose loads fail; repeatable"`
	CrashMarker string        `arg:"--crash-marker" help:"text in a prompt that makes the engine restart cold"`
	CallTime    time.Duration `arg:"--call-time" help:"duration of a call to the stand-in service"`
}

type platformCommand struct {
	Role string `arg:"positional,required" help:"entry or agent"`
}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run the roles that the settings name"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run everything in one process on loopback"`
	Standin *standinCommand `arg:"subcommand:standin" help:"run stand-in backend servers for testing"`

	Platform *platformCommand `arg:"subcommand:platform" help:"run a role on the users' platform, which provides the path of the settings file"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "rosemaryd serves very many LoRA adapters before a fleet of model engines."
}

// demoStopTimeout bounds the graceful stop of the demo.
const demoStopTimeout = 30 * time.Second

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if err := run(args, parser); err != nil {
		fmt.Fprintln(os.Stderr, "rosemaryd:", err)
		os.Exit(1)
	}
}

func run(args arguments, parser *arg.Parser) error {
	switch {
	case args.Serve != nil:
		return serve(args.Serve.Settings)
	case args.Check != nil:
		return check(args.Check.Settings, args.Check.Fleet)
	case args.Demo != nil:
		return runDemo(args.Demo.Listen)
	case args.Standin != nil:
		return runStandin(*args.Standin)
	case args.Platform != nil:
		return platform.Run(args.Platform.Role)
	default:
		parser.WriteHelp(os.Stdout)
		return errors.New("a subcommand is required")
	}
}

func check(path string, fleet bool) error {
	var err error
	if fleet {
		_, err = settings.LoadFleet(path)
	} else {
		_, err = settings.Load(path)
	}
	if err != nil {
		return err
	}
	fmt.Println(path + ": ok")
	return nil
}

func serve(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(s.Instance)
	if err != nil {
		return err
	}
	return runUntilSignal(s.DrainTimeout(), func() (stopFunc, error) {
		d, err := daemon.Start(s, log)
		if err != nil {
			return nil, err
		}
		return d.Stop, nil
	})
}

func runDemo(listen string) error {
	return runUntilSignal(demoStopTimeout, func() (stopFunc, error) { return startDemo(listen) })
}

func startDemo(listen string) (stopFunc, error) {
	d, err := demo.Start(listen, zap.NewNop())
	if err != nil {
		return nil, err
	}
	fmt.Println("rosemarypass demo: all roles, a stand-in engine and a stand-in service are running. Try:")
	fmt.Println(d.CurlCommand())
	fmt.Println("For rosemaryctl:")
	fmt.Printf("export ROSEMARY_CONTROL=%s ROSEMARY_KEY=%s\n", d.OperatorURL(), demo.OperatorKey)
	fmt.Printf("Checks and counters: http://%s/readyz and /debug/vars\n", d.Status)
	return d.Stop, nil
}

func (c standinCommand) engineOptions() engine.Options {
	return engine.Options{
		BaseModel:      c.Model,
		Slots:          c.Slots,
		Capacity:       c.Capacity,
		TokenTime:      c.TokenTime,
		LoadTime:       c.LoadTime,
		ReportLag:      c.ReportLag,
		EnforceFencing: c.Fencing,
		FailLoads:      c.FailLoads,
		CrashMarker:    c.CrashMarker,
	}
}

func runStandin(c standinCommand) error {
	errs := make(chan error, 2)
	listen := func(address string, handler http.Handler) {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
		errs <- server.ListenAndServe()
	}
	if c.Engine != "" {
		go listen(c.Engine, engine.New(c.engineOptions()).Handler())
	}
	if c.Service != "" {
		go listen(c.Service, service.New(service.Options{CallTime: c.CallTime}))
	}
	if c.Engine == "" && c.Service == "" {
		return errors.New("standin: one of --engine, --service is required")
	}
	return <-errs
}

// stopFunc stops a started process gracefully and returns the number of requests that
// it aborted.
type stopFunc func(context.Context) int

// runUntilSignal starts a process, waits for SIGTERM or SIGINT and then stops it with a
// context that expires after timeout. A signal that comes during the start, when the
// process may serve already, takes effect after it. A second signal cancels the context,
// which aborts the requests in flight. runUntilSignal returns an error if requests were
// aborted, so that the exit code reflects it.
func runUntilSignal(timeout time.Duration, start func() (stopFunc, error)) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, err := start()
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if aborted := stop(ctx); aborted > 0 {
		return errors.Errorf("the stop cut off %d requests", aborted)
	}
	return nil
}
