// Command mulberryfork runs the daemons and tools of the load balancer.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/mulberryfork/mulberryfork/bench"
	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Exit codes; docs/operators/commands.md documents them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

// version is set by the linker for a release.
var version = "development"

// commands is the command line.
type commands struct {
	Router  routerCommand  `cmd:"" help:"Run a router on an entry VM."`
	Agent   agentCommand   `cmd:"" help:"Run the agent on the VM of an upstream."`
	Demo    demoCommand    `cmd:"" help:"Run routers, agents and stand-ins in this process and send requests."`
	Check   checkCommand   `cmd:"" help:"Check a folder of configuration files, and compare it with the one in force."`
	Explain explainCommand `cmd:"" help:"Show which file sets a key and which files it overrides."`
	Bench   benchCommand   `cmd:"" help:"Run an experiment; 'list' describes each."`
	Burn    burnCommand    `cmd:"" help:"Report the burn rates of service-level error budgets."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// streams are the standard streams, replaced in tests.
type streams struct {
	out io.Writer
	err io.Writer
}

func main() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr})) }

// run parses the command line and returns the exit code.
func run(args []string, s streams) int {
	var c commands
	exited := -1
	parser, err := kong.New(&c,
		kong.Name("mulberryfork"),
		kong.Description("A load balancer for expert-parallel model groups."),
		kong.Writers(s.out, s.err),
		kong.Exit(func(code int) { exited = code }),
		kong.Bind(s),
	)
	if err != nil {
		return printError(s, err, exitUsage)
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		// kong has printed the help and called Exit.
		return exited
	}
	if err != nil {
		return printError(s, err, exitUsage)
	}
	if err := parsed.Run(); err != nil {
		return printError(s, err, exitCode(err))
	}
	return exitOK
}

// InvalidInputError reports invalid files. Each line of its text is one error.
type InvalidInputError struct{ Err error }

func (e *InvalidInputError) Error() string { return e.Err.Error() }

// Unwrap returns the errors found.
func (e *InvalidInputError) Unwrap() error { return e.Err }

func exitCode(err error) int {
	var status *configreport.StatusError
	var invalid *InvalidInputError
	var files *tomltree.Errors
	var experiment *bench.UnknownExperimentError
	if errors.As(err, &status) {
		return status.Status
	}
	if errors.As(err, &experiment) {
		return exitUsage
	}
	if errors.As(err, &invalid) || errors.As(err, &files) {
		return exitInvalid
	}
	return exitFailed
}

// printError prints each line of an error after the type of the underlying error, and
// returns the exit code.
func printError(s streams, err error, code int) int {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", underlyingError(err)), "*")
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(s.err, "mulberryfork: %s: %s\n", kind, strings.TrimRight(line, "\n"))
	}
	return code
}

// underlyingError unwraps errors that only set the exit code, and joined errors, of which it
// takes the first. It keeps all other wrappers.
func underlyingError(err error) error {
	for {
		switch e := err.(type) {
		case interface{ Unwrap() []error }:
			err = e.Unwrap()[0]
		case *InvalidInputError:
			err = e.Err
		case *configreport.StatusError:
			err = e.Err
		default:
			return err
		}
	}
}

type versionCommand struct{}

func (versionCommand) Run(s streams) error {
	fmt.Fprintln(s.out, "mulberryfork", version)
	return nil
}
