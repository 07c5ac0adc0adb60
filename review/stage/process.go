package stage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Files of the deployment, relative to the root of the repository.
const (
	deployFile = "deploy/system.toml"
	deployDir  = "."
)

const (
	startTimeout   = 15 * time.Second
	sampleInterval = 5 * time.Millisecond
	bytesPerMB     = 1 << 20
)

// EdgeOptions are the fields of the platform's settings that a case chooses.
type EdgeOptions struct {
	Name, Zone, Store string
	// MemoryMB is the limit above which the platform kills the process.
	MemoryMB, Descriptors int
	// Addresses are those of the edge, free ones if they are empty. Seeds are the
	// `seedNodes`, the edge alone if there are none.
	Addresses Addresses
	Seeds     []string
}

// Addresses are those of an edge: the frontend, the readiness check, that for other edges, and
// the ends of the internal range of ports.
type Addresses struct{ Front, Ready, Link, FirstPort, LastPort string }

// FreeAddresses returns free addresses for an edge.
func FreeAddresses() (a Addresses, err error) {
	for _, address := range []*string{&a.Front, &a.Ready, &a.Link, &a.FirstPort, &a.LastPort} {
		if *address, err = FreeAddress(); err != nil {
			return a, err
		}
	}
	return a, nil
}

// Edge is a running edge process.
type Edge struct {
	Addresses

	command *exec.Cmd
	exited  chan struct{}
	// peakMB is the largest anonymous memory that was seen.
	peakMB atomic.Int64
	// Killed is set if the platform has ended the process for its memory.
	killed atomic.Bool
}

// firstPort and ports are a range below that from which the system takes the ports of outgoing
// connections: those could take a port before the edge listens there.
const firstPort, ports = 20_000, 12_000

// chosen holds the ports that FreeAddress has returned.
var chosen sync.Map

// NoPortError reports that no port was free.
type NoPortError struct{}

func (*NoPortError) Error() string { return "no port is free" }

// FreeAddress returns a loopback address with a free port, another one each time.
func FreeAddress() (string, error) {
	for range ports {
		port := firstPort + rand.IntN(ports)
		if _, taken := chosen.LoadOrStore(port, true); taken {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String(), nil
	}
	return "", &NoPortError{}
}

// role returns the command and the settings template of a role in the deploy file.
func role(name string) (run []string, template string, err error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, "", err
	}
	_, section, found := strings.Cut(string(data), "[roles."+name+"]")
	if !found {
		return nil, "", fmt.Errorf("the deploy file has no role %q", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	field := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindStringSubmatch(section)
		if m == nil {
			return ""
		}
		return m[1]
	}
	data, err = os.ReadFile(filepath.Join(deployDir, field("template")))
	return strings.Fields(field("run")), string(data), err
}

// StartEdge starts an edge as the deploy file says. Its settings and its log are in folder. The
// process is killed once its anonymous memory exceeds the limit, as the platform does.
func StartEdge(folder string, o EdgeOptions) (*Edge, error) {
	run, template, err := role("edge")
	if err != nil {
		return nil, err
	}
	addresses := o.Addresses
	if addresses == (Addresses{}) {
		if addresses, err = FreeAddresses(); err != nil {
			return nil, err
		}
	}
	seeds := o.Seeds
	if len(seeds) == 0 {
		seeds = []string{addresses.Link}
	}
	port := func(address string) any {
		_, text, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(text)
		return n
	}
	text, err := render(template, map[string]any{
		"nodeName": o.Name, "availabilityZone": o.Zone, "ipAddress": "127.0.0.1",
		"listenAddresses":   map[string]any{"frontendAddress": addresses.Front, "ready": addresses.Ready, "controlPlane": addresses.Link},
		"internalPortRange": map[string]any{"0": port(addresses.FirstPort), "1": port(addresses.LastPort)},
		"seedNodes":         seeds,
		"platform":          map[string]any{"address": o.Store},
		"limits":            map[string]any{"memoryLimitMb": o.MemoryMB, "fileDescriptors": o.Descriptors},
		"protocolBounds": map[string]any{
			"gracePeriodS": 8, "revocationMs": 5000, "retryBudgetRatio": 0.2, "retryBudgetExtra": 184,
			"budgetWindowS": 10, "coldOvershoot": 1.5, "coldTolerance": 5,
		},
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(folder, o.Name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, o.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	e := &Edge{Addresses: addresses, exited: make(chan struct{})}
	e.command = exec.Command(run[0], run[1:]...)
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "MULBERRYFORK_BOOT=" + settings}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	endWithCase(e)
	go func() {
		_ = e.command.Wait()
		close(e.exited)
	}()
	go e.watchMemory(int64(o.MemoryMB))
	return e, nil
}

// endWithCase kills a process when the case itself is told to end.
func endWithCase(e *Edge) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			e.Kill()
			os.Exit(NotRun)
		case <-e.exited:
		}
	}()
}

// ErrNotReady reports an edge that does not become ready.
var ErrNotReady = errors.New("the edge is not ready")

// AwaitReady waits until the edge says that it is ready.
func (e *Edge) AwaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if e.IsReady() {
			return nil
		}
	}
	return ErrNotReady
}

// IsReady asks as the platform does.
func (e *Edge) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watchMemory samples the memory of the process until it ends, and kills it above the limit.
func (e *Edge) watchMemory(limitMB int64) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.exited:
			return
		case <-tick.C:
		}
		mb := e.anonymousMB()
		e.peakMB.Store(max(e.peakMB.Load(), mb))
		if limitMB > 0 && mb > limitMB {
			e.killed.Store(true)
			e.Signal(syscall.SIGKILL)
			return
		}
	}
}

var rssAnon = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonymousMB returns the memory of the process without the pages of its program file.
func (e *Edge) anonymousMB() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	m := rssAnon.FindSubmatch(data)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseInt(string(m[1]), 10, 64)
	return kb * 1024 / bytesPerMB
}

// PeakMB returns the largest anonymous memory so far, in MB.
func (e *Edge) PeakMB() int64 { return e.peakMB.Load() }

// KilledForMemory reports whether the memory exceeded the limit.
func (e *Edge) KilledForMemory() bool { return e.killed.Load() }

// Signal sends a signal to the process.
func (e *Edge) Signal(s syscall.Signal) { _ = e.command.Process.Signal(s) }

// Exited reports whether the process has ended.
func (e *Edge) Exited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (e *Edge) Kill() {
	e.Signal(syscall.SIGKILL)
	<-e.exited
}
