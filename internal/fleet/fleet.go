// Package fleet runs all daemons, emulated engines and an emulated platform in one operating-system
// process on loopback: the embedded fleet of `sedgemast dev` and of tests.
package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/control"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/dispatcher"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/gateway"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// Options configures an embedded fleet.
type Options struct {
	Gateways    int
	Dispatchers int
	Engines     int
	Models      []string
	// Folder is the parent of control's data folder.
	Folder string
	Logger logging.Logger
	// Capacity is the capacity of each engine.
	Capacity emulator.Capacity
	Faults   emulator.Faults
	// ExitOnPrompt, if set, makes an engine exit when it starts a prompt that contains this text.
	ExitOnPrompt string
	// Versions, if set, are the software versions of the engines, in turn.
	Versions []string
	// OperatorKeySHA256 is the SHA-256 digest of the first operator's key.
	OperatorKeySHA256 string
}

// Member is one daemon or emulated process of the fleet.
type Member struct {
	Name   string
	Daemon *daemon.Daemon
	// Engine is set for emulated engines.
	Engine *emulator.Engine
	close  func() error
	done   chan struct{}
}

// Address returns the member's IP:port.
func (m *Member) Address() string { return m.Daemon.Address() }

// Fleet is a running embedded fleet.
type Fleet struct {
	Control     *Member
	Gateways    []*Member
	Dispatchers []*Member
	Engines     []*Member
	Platform    *emulator.Platform
	options     Options
	members     []*Member
	mutex       sync.Mutex
	failures    []error
}

const (
	loopback          = "127.0.0.1:0"
	platformLag       = 200 * time.Millisecond
	weightRate        = 256 << 20
	weightBytes       = 64 << 20
	resumeGrace       = 5 * time.Second
	readyPollInterval = 10 * time.Millisecond
	stopTimeout       = 20 * time.Second
	zones             = 3
	heartbeatInterval = 100 * time.Millisecond
)

// Start starts a fleet and waits until every daemon is ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	f := &Fleet{options: options, Platform: emulator.NewPlatform(platformLag, weightRate, weightBytes)}
	if err := f.startAll(); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.waitReady(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	platformMember, err := f.start("platform", "platform", func(d *daemon.Daemon) (func() error, error) {
		f.Platform.Register(d.Server)
		d.SetReady(true)
		return nil, nil
	})
	if err != nil {
		return err
	}
	for number := 1; number <= f.options.Engines; number++ {
		if err := f.startEngine(number, platformMember.Address()); err != nil {
			return err
		}
	}
	f.PublishWorkers()
	if err := f.startControl(platformMember.Address()); err != nil {
		return err
	}
	for number := 1; number <= f.options.Dispatchers; number++ {
		if err := f.StartDispatcher(number); err != nil {
			return err
		}
	}
	for number := 1; number <= f.options.Gateways; number++ {
		if err := f.startGateway(number); err != nil {
			return err
		}
	}
	return nil
}

// start starts one member. build prepares its daemon and returns a function that closes the member
// after the daemon has stopped, or nil.
func (f *Fleet) start(role, name string, build func(*daemon.Daemon) (func() error, error)) (*Member, error) {
	d, err := daemon.New(daemon.Options{
		Role:        role,
		Name:        name,
		Listen:      loopback,
		Logger:      logging.WithProcess(f.options.Logger, role, name),
		StopTimeout: stopTimeout,
		Embedded:    true,
	})
	if err != nil {
		return nil, err
	}
	member := &Member{Name: name, Daemon: d, done: make(chan struct{})}
	if member.close, err = build(d); err != nil {
		return nil, err
	}
	go func() {
		defer close(member.done)
		if err := d.Run(); err != nil {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.failures = append(f.failures, err)
		}
	}()
	f.members = append(f.members, member)
	return member, nil
}

// versionOf returns the version of an engine by its index, empty if the engines have none.
func (o *Options) versionOf(index int) string {
	if len(o.Versions) == 0 {
		return ""
	}
	return o.Versions[index%len(o.Versions)]
}

func zoneOf(number int) string { return fmt.Sprintf("zone-%c", 'a'+number%zones) }

func (f *Fleet) startEngine(number int, platformAddress string) error {
	name := fmt.Sprintf("engine-%d", number)
	var emulated *emulator.Engine
	member, err := f.start("engine", name, func(d *daemon.Daemon) (func() error, error) {
		emulated = emulator.NewEngine(emulator.EngineOptions{
			Worker:       name,
			Incarnation:  1,
			Version:      f.options.versionOf(number - 1),
			Models:       f.options.Models,
			Capacity:     f.options.Capacity,
			Seed:         uint64(number),
			Faults:       f.options.Faults,
			LoadLag:      500 * time.Millisecond,
			EventLag:     200 * time.Millisecond,
			ResumeGrace:  resumeGrace,
			WeightStore:  platformAddress,
			ExitOnPrompt: f.options.ExitOnPrompt,
			OnExit:       func() { _ = d.Kill() },
		})
		emulated.Register(d.Server)
		d.Go(emulated.Run)
		d.SetReady(true)
		return nil, nil
	})
	if err != nil {
		return err
	}
	member.Engine = emulated
	f.Engines = append(f.Engines, member)
	return nil
}

// PublishWorkers sets the platform's worker list to the current engines.
func (f *Fleet) PublishWorkers() {
	var workers []workerlist.Worker
	for index, member := range f.Engines {
		workers = append(workers, workerlist.Worker{ID: member.Name, Address: member.Address(), Zone: zoneOf(index), Incarnation: 1, Version: f.options.versionOf(index)})
	}
	f.Platform.SetWorkers(workers)
}

func (f *Fleet) startControl(platformAddress string) error {
	member, err := f.start("control", "control-1", func(d *daemon.Daemon) (func() error, error) {
		config := settings.DefaultControl()
		config.Name = "control-1"
		config.DataFolder = filepath.Join(f.options.Folder, "control-1")
		config.Platform = platformAddress
		config.PlatformInterval = settings.Duration(heartbeatInterval)
		config.DaemonLease = settings.Duration(time.Second)
		process, err := control.New(d, config)
		if err != nil {
			return nil, err
		}
		return process.Close, nil
	})
	f.Control = member
	return err
}

// StartDispatcher starts a further dispatcher.
func (f *Fleet) StartDispatcher(number int) error {
	name := fmt.Sprintf("dispatcher-%d", number)
	member, err := f.start("dispatcher", name, func(d *daemon.Daemon) (func() error, error) {
		config := settings.DefaultDispatcher()
		config.Name = name
		config.Zone = zoneOf(number)
		config.Control = []string{f.Control.Address()}
		config.Heartbeat.Interval = settings.Duration(heartbeatInterval)
		dispatcher.New(d, config)
		return nil, nil
	})
	if err == nil {
		f.Dispatchers = append(f.Dispatchers, member)
	}
	return err
}

func (f *Fleet) startGateway(number int) error {
	name := fmt.Sprintf("gateway-%d", number)
	member, err := f.start("gateway", name, func(d *daemon.Daemon) (func() error, error) {
		config := settings.DefaultGateway()
		config.Name = name
		config.Zone = zoneOf(number)
		config.Control = []string{f.Control.Address()}
		config.Heartbeat.Interval = settings.Duration(heartbeatInterval)
		config.OperatorKeySHA256 = f.options.OperatorKeySHA256
		gateway.New(d, config)
		return nil, nil
	})
	if err == nil {
		f.Gateways = append(f.Gateways, member)
	}
	return err
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, member := range f.members {
		for !member.Daemon.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", member.Name)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Stop stops all members gracefully, in the reverse order of their start, so that callers of a
// process stop before that process.
func (f *Fleet) Stop() {
	for index := len(f.members) - 1; index >= 0; index-- {
		f.StopMember(f.members[index])
	}
}

// StopMember stops one member gracefully. It may be called more than once.
func (f *Fleet) StopMember(member *Member) {
	if err := member.Daemon.Stop(); err != nil {
		logging.Warn(f.options.Logger, "stop_failed", "process", member.Name, "error", err)
	}
	<-member.done
	if member.close != nil {
		closeMember := member.close
		member.close = nil
		if err := closeMember(); err != nil {
			logging.Warn(f.options.Logger, "close_failed", "process", member.Name, "error", err)
		}
	}
}

// KillMember ends a member abruptly, as if its machine had failed.
func (f *Fleet) KillMember(member *Member) {
	if err := member.Daemon.Kill(); err != nil {
		logging.Warn(f.options.Logger, "kill_failed", "process", member.Name, "error", err)
	}
}
