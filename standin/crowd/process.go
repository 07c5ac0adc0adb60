// Package crowd plays clients that nobody controls against the listeners of a process, and
// measures what the process holds meanwhile. The process is a program of its own, so that its
// memory and its descriptors are not those of its clients.
package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sampleInterval is the time between two counts of open descriptors.
	sampleInterval = 20 * time.Millisecond
	// startTimeout bounds the time until a process listens.
	startTimeout = 20 * time.Second
	// maxOutput bounds the log lines that are kept.
	maxOutput = 16 << 10
)

// StartError reports a process that did not start to listen.
type StartError struct {
	Output string
	// Exited is set if the process has exited.
	Exited bool
	// Err is the cause if the process could not be started at all.
	Err error
}

func (e *StartError) Error() string {
	switch {
	case e.Err != nil:
		return e.Err.Error() + "; output: " + e.Output
	case e.Exited:
		return "the process has exited; output: " + e.Output
	}
	return "the process does not listen; output: " + e.Output
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Process is a running program.
type Process struct {
	// Addresses are those on which the process listens, by the names in its log.
	Addresses map[string]string

	command     *exec.Cmd
	exited      chan struct{}
	descriptors atomic.Int64

	mu     sync.Mutex
	output strings.Builder
}

// lockName is the file by which the tests of several packages wait for each other.
const lockName = "mulberryfork-crowd.lock"

// BuildAlone waits until no other test with a crowd runs on the machine, and builds the main
// package in the current folder. done lets the next one run.
func BuildAlone(folder string) (program string, done func(), err error) {
	if done, err = alone(); err != nil {
		return "", nil, err
	}
	if program, err = build(folder); err != nil {
		done()
		return "", nil, err
	}
	return program, done, nil
}

// alone waits until no other test with a crowd runs on the machine. The returned function lets
// the next one run. Two crowds at a time take the processor from each other's processes.
func alone() (done func(), err error) {
	file, err := os.OpenFile(filepath.Join(os.TempDir(), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close()
		return nil, err
	}
	return func() { _ = file.Close() }, nil
}

// build builds the main package in the current folder.
func build(folder string) (program string, err error) {
	program = filepath.Join(folder, "program")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		return "", &StartError{Output: string(out), Err: err}
	}
	return program, nil
}

// Start starts a program whose settings make it log as JSON, and waits until it listens. A
// limit of descriptors above 0 is in force for this process alone.
func Start(program string, descriptors int, args ...string) (*Process, error) {
	script := `exec "$0" "$@"`
	if descriptors > 0 {
		script = fmt.Sprintf("ulimit -n %d && %s", descriptors, script)
	}
	p := &Process{command: exec.Command("sh", append([]string{"-c", script, program}, args...)...), exited: make(chan struct{})}
	out, in := io.Pipe()
	p.command.Stdout, p.command.Stderr = in, in
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	addresses := make(chan map[string]string, 1)
	go p.readOutput(out, addresses)
	go func() {
		_ = p.command.Wait()
		_ = in.Close()
		close(p.exited)
	}()
	select {
	case p.Addresses = <-addresses:
	case <-p.exited:
		return nil, &StartError{Output: p.Output(), Exited: true}
	case <-time.After(startTimeout):
		p.Kill()
		return nil, &StartError{Output: p.Output()}
	}
	go p.sample()
	return p, nil
}

func (p *Process) readOutput(out io.Reader, addresses chan<- map[string]string) {
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadString('\n')
		var entry map[string]any
		if json.Unmarshal([]byte(line), &entry) == nil && entry["msg"] == "listening" {
			found := make(map[string]string)
			for name, value := range entry {
				if text, ok := value.(string); ok {
					found[name] = text
				}
			}
			addresses <- found
		}
		p.mu.Lock()
		if p.output.Len() < maxOutput {
			p.output.WriteString(line)
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Output returns the first log lines of the process.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// sample counts the open descriptors until the process ends.
func (p *Process) sample() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-tick.C:
			p.descriptors.Store(max(p.descriptors.Load(), p.openDescriptors()))
		}
	}
}

func (p *Process) openDescriptors() int64 { return OpenDescriptors(p.command.Process.Pid) }

// Alive reports whether the process is running.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PeakDescriptors returns the largest number of descriptors that were open at a time.
func (p *Process) PeakDescriptors() int64 { return max(p.descriptors.Load(), p.openDescriptors()) }

// PeakMemory returns the largest resident memory of the process in bytes, 0 if it has exited.
func (p *Process) PeakMemory() int64 { return PeakMemory(p.command.Process.Pid) }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}
