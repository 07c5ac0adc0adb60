// Package process runs a program of this project as a child process, for tests and
// soaks that kill it, pause it or partition it from others.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

const (
	// maxLogLines bounds the log lines kept for error messages.
	maxLogLines = 200
	logPerms    = 0o600
)

// Program describes the program that a process runs.
type Program struct {
	// Name identifies the process in error messages.
	Name string
	Path string
	Args []string
	// Env is added to the environment of the calling process, as KEY=value.
	Env []string
	// LogFile is the path of a file to which the output is appended; empty for none.
	LogFile string
}

// Process is one run of a program.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex
	log []string
}

// Error reports a failure to start, signal or stop a process, with the last lines of
// its log.
type Error struct {
	Name string
	Log  []string
	Err  error
}

func (e *Error) Error() string {
	text := e.Name + ": " + e.Err.Error()
	for _, line := range e.Log {
		text += "\n" + line
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ExitedError reports a process that exited before it listened.
type ExitedError struct{}

func (*ExitedError) Error() string { return "the process exited before it listened" }

// Start runs a program and waits until it listens or the context is done. It returns
// the listen addresses by the name of their setting. If the program was started but
// does not listen, the process is returned with the error.
func Start(ctx context.Context, program Program) (*Process, map[string]string, error) {
	logFile := io.Discard
	if program.LogFile != "" {
		file, err := os.OpenFile(program.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logPerms)
		if err != nil {
			return nil, nil, &Error{Name: program.Name, Err: err}
		}
		logFile = file
	}
	cmd := exec.Command(program.Path, program.Args...)
	cmd.Env = append(os.Environ(), program.Env...)
	// The kernel kills the process when its parent is killed, so that it does not
	// outlive the test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// The program logs to standard output and writes command errors to standard
	// error.
	pipeReader, pipeWriter, err := os.Pipe()
	if err != nil {
		return nil, nil, &Error{Name: program.Name, Err: err}
	}
	cmd.Stdout, cmd.Stderr = pipeWriter, pipeWriter
	err = cmd.Start()
	_ = pipeWriter.Close()
	if err != nil {
		_ = pipeReader.Close()
		return nil, nil, &Error{Name: program.Name, Err: err}
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	listening := make(chan map[string]string, 1)
	go func() {
		p.readLog(io.TeeReader(pipeReader, logFile), listening)
		if file, ok := logFile.(io.Closer); ok {
			_ = file.Close()
		}
		_ = pipeReader.Close()
		_ = cmd.Wait()
		close(p.exited)
	}()
	select {
	case addresses := <-listening:
		return p, addresses, nil
	case <-p.exited:
		return p, nil, &Error{Name: program.Name, Log: p.Log(), Err: &ExitedError{}}
	case <-ctx.Done():
		return p, nil, &Error{Name: program.Name, Log: p.Log(), Err: context.Cause(ctx)}
	}
}

// readLog reads the output to its end and keeps the last maxLogLines lines. It sends
// the fields of the "listening" message, which has the listen addresses.
func (p *Process) readLog(r io.Reader, listening chan<- map[string]string) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.log = p.log[max(len(p.log)-maxLogLines, 0):]
		p.mu.Unlock()
		var line map[string]string
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == "listening" {
			listening <- line
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Log returns the last lines of the process's output.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, -1 if a signal ended the process. It must be called
// only after the exit.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Kill kills the process if it is still running, and waits for its exit.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// OwnsConnection reports whether the process opened a connection, given the remote
// and local addresses at the accepting end.
func (p *Process) OwnsConnection(remote, local net.Addr) bool {
	inode := socketInode(remote, local)
	return inode != "" && ownsSocket(p.cmd.Process.Pid, inode)
}
