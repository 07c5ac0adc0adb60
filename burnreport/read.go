// Package burnreport reads the service-level counts of routers and writes a report as
// a table, as JSON or as an HTML page.
package burnreport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/decide/burn"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	readTimeout = 5 * time.Second
	// parallelReads bounds the number of routers read concurrently.
	parallelReads = 16
	// maxResponseBytes bounds the response of one router.
	maxResponseBytes = 256 << 20
)

// adminVars is the part of a router's metrics that the report needs.
type adminVars struct {
	Burn        *burn.Published             `json:"burn"`
	FirstChunk  map[string]encodedHistogram `json:"first_chunk"`
	ChunkGap    map[string]encodedHistogram `json:"chunk_gap"`
	RequestTime map[string]encodedHistogram `json:"request_time"`
}

type encodedHistogram struct {
	HDR []byte `json:"hdr"`
}

// StatusError reports a router whose response status is not 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// NoReportError reports a process that publishes no service-level counts, such as an
// agent.
type NoReportError struct{}

func (*NoReportError) Error() string { return "publishes no service-level counts" }

// NoRouterError reports that none of the routers could be read.
type NoRouterError struct{ Routers int }

func (e *NoRouterError) Error() string {
	return fmt.Sprintf("none of %d routers could be read", e.Routers)
}

// Read reads the counts of all routers and adds them up. The summary lists each
// router that could not be read, with the reason.
func Read(ctx context.Context, addresses []string) burn.Summary {
	client := httpclient.New(httpclient.Options{Dial: (&net.Dialer{}).DialContext, MaxIdle: 1, IdleTimeout: readTimeout})
	defer client.CloseIdleConnections()
	vars := make([]adminVars, len(addresses))
	sources := make([]burn.Source, len(addresses))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for i, address := range addresses {
		group.Go(func() error {
			sources[i].Address = address
			if err := read(ctx, client, address, &vars[i]); err != nil {
				sources[i].Reason = err.Error()
				return nil
			}
			sources[i].Published = vars[i].Burn
			return nil
		})
	}
	// The functions always return nil: errors are part of the summary.
	_ = group.Wait()
	summary := burn.Merge(sources)
	var failures []*burn.HistogramError
	summary.Times, failures = burn.MergeHistograms(histograms(sources, vars))
	for _, f := range failures {
		summary.UnreadTimes = append(summary.UnreadTimes, f.Error())
	}
	return summary
}

// CheckAnyRead returns a *NoRouterError if no router could be read.
func CheckAnyRead(s burn.Summary) error {
	for _, r := range s.Routers {
		if r.Read {
			return nil
		}
	}
	return &NoRouterError{Routers: len(s.Routers)}
}

func read(ctx context.Context, client *httpclient.Client, address string, into *adminVars) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return &StatusError{Status: resp.Status}
	}
	if err := resp.Body.ReadJSON(maxResponseBytes, into); err != nil {
		return err
	}
	if into.Burn == nil {
		return &NoReportError{}
	}
	return nil
}

func histograms(sources []burn.Source, vars []adminVars) []burn.EncodedHistogram {
	var out []burn.EncodedHistogram
	for i, s := range sources {
		if s.Published == nil {
			continue
		}
		for metric, members := range map[string]map[string]encodedHistogram{
			"first_chunk":  vars[i].FirstChunk,
			"chunk_gap":    vars[i].ChunkGap,
			"request_time": vars[i].RequestTime,
		} {
			for member, p := range members {
				out = append(out, burn.EncodedHistogram{Address: s.Address, Metric: metric, Member: member, Data: p.HDR})
			}
		}
	}
	return out
}
