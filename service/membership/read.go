package membership

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

const (
	// readInterval separates two reads of the list. It leaves most of the 3 s
	// in which a leaving VM must lose its new work to the list's own lag.
	readInterval = time.Second
	// emptyInterval separates reads while the list knows no VM.
	emptyInterval = 100 * time.Millisecond
	readTimeout   = time.Second
	// maxBytes bounds one answer: some thousand VMs.
	maxBytes = 1 << 20
)

// ReadError reports a failed read of the list.
type ReadError struct {
	Status int
	Err    error
}

func (e *ReadError) Error() string {
	if e.Err != nil {
		return "membership list: " + e.Err.Error()
	}
	return "membership list: status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// follow reads the list until the service stops.
func (s *service) follow() {
	var failures uint64
	for s.ctx.Err() == nil {
		wait := readInterval
		vms, err := s.read()
		if s.ctx.Err() != nil {
			return
		}
		_ = s.health.Post(s.ctx, err)
		switch {
		case err != nil:
			failures++
			s.errors.Add(1)
			wait = spread.RetryDelay(s.settings.Node, failures)
		case len(vms) == 0:
			failures, wait = 0, emptyInterval
		default:
			failures = 0
			_ = s.lists.Post(s.ctx, vms)
		}
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
		}
	}
}

// listed is the platform's form of the list.
type listed struct {
	Members []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Role    string `json:"role"`
		State   string `json:"state"`
	} `json:"members"`
}

func (s *service) read() ([]api.VM, error) {
	s.reads.Add(1)
	url := strings.TrimSuffix(s.settings.Membership.Service, "/") + "/v1/members"
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	defer func() {
		// Only a connection whose answer was read to its end is used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBytes))
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return nil, &ReadError{Status: resp.StatusCode}
	}
	var l listed
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(&l); err != nil {
		return nil, &ReadError{Err: err}
	}
	vms := make([]api.VM, 0, len(l.Members))
	for _, m := range l.Members {
		vm := api.VM{Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, State: api.VMLive}
		if m.State != string(api.VMLive) {
			// A state that this build does not know takes no new work either.
			vm.State = api.VMLeaving
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
