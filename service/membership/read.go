package membership

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

const (
	// pollInterval is the time between polls of the list. A leaving VM must get no
	// new work after 3 s. The list itself shows the change with a delay, for which
	// most of the 3 s is reserved.
	pollInterval = time.Second
	// emptyPollInterval is the time between polls while the list is empty.
	emptyPollInterval = 100 * time.Millisecond
	readTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	// maxResponseBytes bounds one response. It fits several thousand VMs.
	maxResponseBytes = 1 << 20
)

// ReadError reports a failed read of the list. Status is the HTTP status of the
// response if Err is nil.
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

// pollList polls the list until the service stops.
func (s *service) pollList() {
	var failures uint64
	for s.ctx.Err() == nil {
		wait := pollInterval
		vms, err := s.readList()
		if s.ctx.Err() != nil {
			return
		}
		_ = s.listHealth.Post(s.ctx, err)
		switch {
		case err != nil:
			failures++
			s.readErrors.Add(1)
			wait = spread.RetryDelay(s.settings.Node, failures)
		case len(vms) == 0:
			failures, wait = 0, emptyPollInterval
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

// listResponse is the list in the platform's JSON encoding.
type listResponse struct {
	Members []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Role    string `json:"role"`
		State   string `json:"state"`
	} `json:"members"`
}

func (s *service) readList() ([]api.VM, error) {
	s.reads.Add(1)
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	url := strings.TrimSuffix(s.settings.Membership.Service, "/") + "/v1/members"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	resp, err := s.client.Do(req, "")
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	defer func() {
		// The client reuses a connection only if the body was read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		_ = resp.Body.Close()
	}()
	if resp.Status != http.StatusOK {
		return nil, &ReadError{Status: resp.Status}
	}
	var l listResponse
	if err := resp.Body.ReadJSON(maxResponseBytes, &l); err != nil {
		return nil, &ReadError{Err: err}
	}
	vms := make([]api.VM, 0, len(l.Members))
	for _, m := range l.Members {
		vm := api.VM{Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, State: api.VMLive}
		if m.State != string(api.VMLive) {
			// A VM in a state unknown to this version gets no new work either.
			vm.State = api.VMLeaving
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
