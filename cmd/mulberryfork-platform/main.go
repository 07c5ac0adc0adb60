// Command mulberryfork-platform runs the processes of mulberryfork on a platform
// that publishes routes, members and upstreams in a store.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/platform"
	"github.com/mulberryfork/mulberryfork/service/adminhttp"
	"github.com/mulberryfork/mulberryfork/service/apikeys"
	"github.com/mulberryfork/mulberryfork/service/balance"
	"github.com/mulberryfork/mulberryfork/service/connections"
	"github.com/mulberryfork/mulberryfork/service/discovery"
	"github.com/mulberryfork/mulberryfork/service/dispatch"
	"github.com/mulberryfork/mulberryfork/service/experts"
	"github.com/mulberryfork/mulberryfork/service/fleet"
	"github.com/mulberryfork/mulberryfork/service/grouploads"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/metrics"
)

type commands struct {
	Edge edgeCommand `cmd:"" help:"Route requests of callers to upstreams."`
	Side sideCommand `cmd:"" help:"Manage the expert map of the engine on this VM."`

	Check       checkCommand       `cmd:"" help:"Check a settings file and print every problem."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a configuration document, and compare it with the one in force."`
	Explain     explainCommand     `cmd:"" help:"Show the value of a setting and the line that sets it."`
	Version     versionCommand     `cmd:"" help:"Print the version."`
}

// version is set by the linker for a release.
var version = "development"

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("mulberryfork-platform", version)
	return nil
}

type checkCommand struct {
	Role     string `arg:"" enum:"edge,side" help:"Role of the process: edge or side."`
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

func (c checkCommand) Run() error {
	if _, err := load(c.Settings, settings.Role(c.Role)); err != nil {
		return err
	}
	fmt.Println(c.Settings + ": ok")
	return nil
}

type edgeCommand struct {
	Settings string `env:"MULBERRYFORK_BOOT" type:"existingfile" required:"" help:"Settings file of this process."`
}

// edgeServices are started in this order and stopped in reverse, so that the
// services that requests depend on stop after the last request.
var edgeServices = []string{
	api.ServiceLog,
	api.ServiceMetrics,
	api.ServiceConnections,
	api.ServiceDiscovery,
	api.ServicePlatformStore,
	api.ServiceAdminHTTP,
	api.ServicePlatformReady,
	api.ServiceFleet,
	api.ServiceGroupLoads,
	api.ServiceAdmission,
	api.ServiceRouting,
	api.ServiceTransportLinks,
	api.ServiceDispatch,
	api.ServiceFrontendHTTP,
}

var sideServices = []string{
	api.ServiceLog,
	api.ServiceMetrics,
	api.ServiceConnections,
	api.ServiceDiscovery,
	api.ServicePlatformStore,
	api.ServiceAdminHTTP,
	api.ServiceRankEngine,
	api.ServiceExperts,
}

func registry() (*kernel.Registry, error) {
	r := kernel.NewRegistry()
	for _, register := range []func(*kernel.Registry) error{
		adminhttp.Register,
		apikeys.Register,
		balance.Register,
		connections.Register,
		discovery.Register,
		dispatch.Register,
		experts.Register,
		fleet.Register,
		grouploads.Register,
		log.Register,
		metrics.Register,
		platform.Register,
	} {
		if err := register(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func main() {
	var c commands
	parsed := kong.Parse(&c,
		kong.Name("mulberryfork-platform"),
		kong.Description("The processes of mulberryfork on a platform with a store."))
	if err := parsed.Run(); err != nil {
		os.Exit(printError(os.Stderr, err))
	}
}

// printError prints each line of an error and returns the exit code.
func printError(w io.Writer, err error) int {
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(w, "mulberryfork-platform: %s\n", strings.TrimRight(line, "\n"))
	}
	var status *configreport.StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 1
}

type sideCommand struct{ edgeCommand }

func (c sideCommand) Run() error { return serve(c.Settings, settings.Side, sideServices) }

func (c edgeCommand) Run() error { return serve(c.Settings, settings.Edge, edgeServices) }

// FileError reports a settings file that cannot be read or explained.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

func load(path string, role settings.Role) (*api.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	loaded, problems := settings.Read(path, data, role)
	if problems != nil {
		return nil, problems
	}
	return loaded, nil
}

// serve runs a process until it receives SIGTERM or SIGINT.
func serve(path string, role settings.Role, services []string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	loaded, err := load(path, role)
	if err != nil {
		return err
	}
	daemon.LimitMemory(loaded)
	r, err := registry()
	if err != nil {
		return err
	}
	p, err := daemon.StartWith(context.Background(), r, services, loaded)
	if err != nil {
		return err
	}
	logger, err := kernel.Find[api.Logger](p.Host, api.ServiceLog)
	if err != nil {
		return err
	}
	logger.Change("started", api.Fields{"node": loaded.Node, "role": role, "zone": loaded.Zone, "http": loaded.Listen.HTTP})
	if err := p.LogAddresses(); err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		reload(logger, path, role)
	}
	logger.Change("stopping", api.Fields{"node": loaded.Node})
	return p.Stop(context.Background())
}

// reload checks a changed settings file and logs the result. The process applies
// settings only at start; later changes by the platform do not affect them.
func reload(logger api.Logger, path string, role settings.Role) {
	if _, err := load(path, role); err != nil {
		logger.Change("changed settings are invalid; a restart would fail", api.Fields{"error": err.Error()})
		return
	}
	logger.Change("changed settings are valid; a restart is needed to apply them", nil)
}
