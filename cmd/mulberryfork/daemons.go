package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/decide/settings"
)

// daemonFlags override the settings file.
type daemonFlags struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of this process."`
	LogLevel string `help:"Override log.level."`
	LogJSON  bool   `name:"log-json" help:"Write log lines as JSON."`
}

func (f daemonFlags) load(role settings.Role) (*api.Settings, error) {
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return nil, &FileError{Path: f.Settings, Err: err}
	}
	loaded, problems := settings.Read(f.Settings, data, role)
	if problems != nil {
		return nil, &InvalidInputError{Err: problems}
	}
	if f.LogLevel != "" {
		loaded.Log.Level = f.LogLevel
	}
	if f.LogJSON {
		loaded.Log.Format = "json"
	}
	return loaded, nil
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

type routerCommand struct{ daemonFlags }

func (c routerCommand) Run() error {
	return c.serve(settings.Router, daemon.RouterServices())
}

type agentCommand struct{ daemonFlags }

func (c agentCommand) Run() error {
	return c.serve(settings.Agent, daemon.AgentServices())
}

// serve runs the services until SIGTERM or SIGINT starts a graceful shutdown. A second
// SIGTERM or SIGINT ends the shutdown at once. SIGHUP reloads the TLS keys and
// certificates; it is ignored during the shutdown.
func (f daemonFlags) serve(role settings.Role, services []string) error {
	loaded, err := f.load(role)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon.LimitMemory(loaded)
	p, err := daemon.Start(context.Background(), services, loaded)
	if err != nil {
		return err
	}
	if err := p.LogAddresses(); err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		if err := p.ReloadKeys(); err != nil {
			return err
		}
	}
	stopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel()
			}
		}
	}()
	return p.Stop(stopCtx)
}
