// Package daemon provides what all processes have in common: a kratos application with an
// HTTP server, health and readiness checks, metrics, logs and a planned stop (graceful shutdown).
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/url"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sedgemast/sedgemast/internal/connlimit"
	"github.com/sedgemast/sedgemast/internal/decodeerror"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Version is the version of the programs; releases set it when linking.
var Version = "0.1.0-dev"

// BuildRevision returns the first twelve characters of the VCS revision in the program's
// build information, followed by "+" if the working tree had uncommitted changes; "unknown"
// if there is none.
func BuildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	revision, suffix := unknownRevision, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionLength)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = "+"
		}
	}
	return revision + suffix
}

const (
	unknownRevision = "unknown"
	revisionLength  = 12
)

// Options holds the options of a process.
type Options struct {
	Role   string
	Name   string
	Listen string
	// Advertise is the address that other processes are given, if it differs from Listen.
	Advertise string
	Logger    logging.Logger
	// StopTimeout bounds the time between the request to stop and the end of the last connection. The
	// steps of the stop and the servers share it.
	StopTimeout time.Duration
	// Embedded is set for processes that share an operating-system process. They leave
	// its signals to the program that runs them, and have no limits.
	Embedded bool
	// Limits bounds what clients make the process hold.
	Limits Limits
}

// Daemon is one process of the system, possibly embedded in a shared operating-system process.
type Daemon struct {
	// Server is the HTTP server at the listen address; handlers are registered with it.
	Server *kratoshttp.Server
	// Registry holds the metrics that /metrics serves.
	Registry *prometheus.Registry
	// Traffic counts the messages and bytes exchanged with other processes.
	Traffic *traffic.Meter
	// Intake bounds what the clients of all servers make the process hold.
	Intake *intake.Guard
	// Logger is the logger of the options; without one, log lines are discarded.
	Logger logging.Logger

	options    Options
	limits     Limits
	listener   net.Listener
	servers    []transport.Server
	stop       *plannedStop
	app        *kratos.App
	appOnce    sync.Once
	ready      atomic.Bool
	steps      *startupSteps
	beforeStop []func(context.Context)
	background sync.WaitGroup
	cancel     context.CancelFunc
	context    context.Context
}

// New listens at the address of the options. Nothing is served before Run.
func New(options Options) (*Daemon, error) {
	limits := options.Limits.withDefaults(options.Embedded)
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "free the address or choose another in the settings", "%s can't listen", options.Name).WithField("listen")
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	decodeerror.SetLogger(options.Logger)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		Registry: prometheus.NewRegistry(),
		Traffic:  traffic.NewMeter(),
		Logger:   options.Logger,
		options:  options,
		limits:   limits,
		listener: listener,
		context:  ctx,
		cancel:   cancel,
		steps:    newStartupSteps(options.Embedded),
		stop:     newPlannedStop(options.StopTimeout),
	}
	d.Intake = intake.New(limits.RequestBytes, d.Logger, d.Registry)
	listener = d.Intake.Listen(listener, connlimit.New(limits.ListenConnections), "listen", "listen_connections")
	d.listener = listener
	// kratos' default timeout would cut long streams; each request has a deadline of its own.
	d.Server = kratoshttp.NewServer(
		kratoshttp.Listener(listener),
		endpointOption(listener),
		kratoshttp.Timeout(0),
		kratoshttp.StrictSlash(false),
		kratoshttp.NotFoundHandler(http.HandlerFunc(notFound)),
		kratoshttp.MethodNotAllowedHandler(http.HandlerFunc(notFound)),
	)
	setConnectionTimes(d.Server.Server)
	d.Intake.Protect(d.Server.Server)
	d.registerCommon()
	d.CompleteStep(StepSettings)
	return d, nil
}

// ServerOptions holds the options of an added server.
type ServerOptions struct {
	// Name is the name of the server in metrics and logs.
	Name string
	// Configure, if not nil, may change the server's limits.
	Configure func(*http.Server)
	// Connections decides which connections are accepted, and ConnectionsSetting names the setting that
	// bounds them in logs. Without a limiter, the few that operators and monitoring need are accepted.
	Connections        *connlimit.Limiter
	ConnectionsSetting string
}

// AddServer serves another address with only the given handler: request paths are passed on
// unchanged, and the routes that all processes have are not served there. It must be called
// before Run.
func (d *Daemon) AddServer(listen string, handler http.Handler, options ServerOptions) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "free the address or choose another in the settings", "%s can't listen", d.options.Name).WithField(listen)
	}
	if options.Connections == nil {
		options.Connections, options.ConnectionsSetting = d.auxiliaryConnections(), "fixed"
	}
	listener = d.Intake.Listen(listener, options.Connections, options.Name, options.ConnectionsSetting)
	server := kratoshttp.NewServer(
		kratoshttp.Listener(listener),
		endpointOption(listener),
		kratoshttp.Timeout(0),
		kratoshttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	setConnectionTimes(server.Server)
	if options.Configure != nil {
		options.Configure(server.Server)
	}
	d.Intake.Protect(server.Server)
	d.servers = append(d.servers, d.stoppable(options.Name, server))
	return nil
}

func (d *Daemon) stoppable(name string, inner *kratoshttp.Server) *server {
	return &server{Server: inner, name: name, stop: d.stop, logger: d.Logger}
}

// application returns the kratos application. The first call creates it, so all servers must
// have been added before.
func (d *Daemon) application() *kratos.App {
	d.appOnce.Do(func() { d.app = d.newApplication() })
	return d.app
}

// endpointOption returns the option that sets the server's endpoint. Without it kratos looks for
// the address among the machine's network interfaces, which not every machine lists.
func endpointOption(listener net.Listener) kratoshttp.ServerOption {
	return kratoshttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()})
}

func notFound(writer http.ResponseWriter, request *http.Request) {
	err := failure.New(failure.NotFound, "check the method and the path", "there is no %s %s", request.Method, request.URL.Path)
	failure.WriteHTTP(writer, err, "")
}

func (d *Daemon) registerCommon() {
	d.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewBuildInfoCollector(), d.Traffic, decodeerror.Messages, d.steps.seconds)
	if !d.options.Embedded {
		d.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	d.Server.Handle("/metrics", d.MetricsHandler())
	d.Server.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writeHealth(writer, true)
	})
	d.Server.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		writeHealth(writer, d.ready.Load())
	})
	d.Server.HandleFunc("/debug/pprof/profile", pprof.Profile)
	d.Server.HandlePrefix("/debug/pprof/", http.HandlerFunc(pprof.Index))
}

// MetricsHandler answers with the process's metrics.
func (d *Daemon) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{})
}

func writeHealth(writer http.ResponseWriter, ok bool) {
	if !ok {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = writer.Write([]byte("not ready\n"))
		return
	}
	_, _ = writer.Write([]byte("ok\n"))
}

// Address returns the IP:port at which other processes reach this one.
func (d *Daemon) Address() string {
	if d.options.Advertise != "" {
		return d.options.Advertise
	}
	return d.listener.Addr().String()
}

// Context returns a context that ends when the process has stopped.
func (d *Daemon) Context() context.Context { return d.context }

// SetReady sets whether /readyz reports the process as ready.
func (d *Daemon) SetReady(ready bool) {
	d.ready.Store(ready)
	if ready {
		d.CompleteStep(StepReady)
	}
}

// Ready reports whether /readyz reports the process as ready.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Stopping reports whether a planned stop has begun.
func (d *Daemon) Stopping() bool { return d.stop.begun.Err() != nil }

// BeforeStop adds a step to the planned stop. The steps run in the order in which they
// were added, before the servers stop, and share the stop timeout.
func (d *Daemon) BeforeStop(step func(context.Context)) {
	d.beforeStop = append(d.beforeStop, step)
}

// Go runs loop in a goroutine, with a context that ends when the process stops. Run waits
// for the loop to return.
func (d *Daemon) Go(loop func(context.Context)) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		loop(d.context)
	}()
}

func (d *Daemon) newApplication() *kratos.App {
	signals := kratos.Signal(syscall.SIGTERM, syscall.SIGINT)
	if d.options.Embedded {
		// kratos always listens for a signal; nothing sends this one.
		signals = kratos.Signal(syscall.SIGUSR2)
	}
	return kratos.New(
		kratos.Name(d.options.Role),
		kratos.ID(d.options.Name),
		kratos.Version(Version),
		kratos.Logger(logging.Kratos(d.Logger)),
		kratos.Server(append([]transport.Server{d.stoppable("listen", d.Server)}, d.servers...)...),
		kratos.StopTimeout(d.options.StopTimeout),
		signals,
		kratos.BeforeStop(func(context.Context) error { d.runStopSteps(); return nil }),
	)
}

// Run serves until a signal or Stop ends the process.
func (d *Daemon) Run() error {
	if !d.options.Embedded {
		kratoslog.SetLogger(logging.Kratos(d.Logger))
	}
	d.Go(d.logTraffic)
	logging.Info(d.Logger, "started", "address", d.listener.Addr().String(), "version", Version, "build", BuildRevision(), "generation", int(wire.GenerationCurrent))
	err := d.application().Run()
	d.cancel()
	d.background.Wait()
	logging.Info(d.Logger, "stopped")
	if err != nil {
		return errors.Wrapf(err, "%s exited", d.options.Name)
	}
	return nil
}

func (d *Daemon) runStopSteps() {
	logging.Info(d.Logger, "stopping")
	d.stop.begin(time.Now())
	d.SetReady(false)
	ctx, cancel := d.stop.limit(context.Background())
	defer cancel()
	for _, step := range d.beforeStop {
		step(ctx)
	}
}

// Stop begins the planned stop.
func (d *Daemon) Stop() error { return d.application().Stop() }

// Kill ends an embedded process as if its machine had failed: open connections break, and no
// step of the planned stop runs.
func (d *Daemon) Kill() error {
	d.cancel()
	return d.Server.Close()
}

// trafficInterval is the time between two log lines on the traffic. It is long enough that
// about ten lines per process cover a whole test run.
const trafficInterval = 10 * time.Second

// logTraffic logs the total traffic with other processes at each interval.
func (d *Daemon) logTraffic(ctx context.Context) {
	Every(ctx, trafficInterval, func() {
		rows := d.Traffic.Rows()
		if len(rows) == 0 {
			return
		}
		pairs := make([]any, 0, 2*len(rows))
		for i := range rows {
			row := &rows[i]
			pairs = append(pairs, string(row.Kind)+"@"+row.Zone, fmt.Sprintf("%d:%d:%d", row.Exchanges, row.Sent, row.Received))
		}
		logging.Info(d.Logger, "traffic", pairs...)
	})
}

// Every calls action at once and then at each interval, until ctx ends.
func Every(ctx context.Context, interval time.Duration, action func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		action()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
