// Package burnreport reads what routers publish on service levels and writes
// the report on it as a table, as JSON and as one page of HTML.
package burnreport

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/decide/burn"
)

const (
	readTimeout = 5 * time.Second
	// parallelReads bounds the routers that are read at once.
	parallelReads = 16
	// maxBytes bounds what is read of one router.
	maxBytes = 256 << 20
)

// vars is the part of a router's metrics that the report needs.
type vars struct {
	Burn        *burn.Published   `json:"burn"`
	FirstChunk  map[string]packed `json:"first_chunk"`
	ChunkGap    map[string]packed `json:"chunk_gap"`
	RequestTime map[string]packed `json:"request_time"`
}

type packed struct {
	HDR []byte `json:"hdr"`
}

// StatusError reports a router that answered with another status than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// NoReportError reports a process that publishes no counts, such as an agent.
type NoReportError struct{}

func (*NoReportError) Error() string { return "publishes no service-level counts" }

// NoRouterError reports that none of the routers could be read.
type NoRouterError struct{ Asked int }

func (e *NoRouterError) Error() string {
	return fmt.Sprintf("none of %d routers could be read", e.Asked)
}

// Read asks all routers and adds up their counts. A router that cannot be read
// is listed in the summary with the reason.
func Read(ctx context.Context, addresses []string) burn.Summary {
	client := &http.Client{Timeout: readTimeout}
	defer client.CloseIdleConnections()
	found := make([]vars, len(addresses))
	sources := make([]burn.Source, len(addresses))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for i, address := range addresses {
		group.Go(func() error {
			sources[i].Address = address
			if err := read(ctx, client, address, &found[i]); err != nil {
				sources[i].Reason = err.Error()
				return nil
			}
			sources[i].Published = found[i].Burn
			return nil
		})
	}
	// The functions return no errors: each is part of the summary.
	_ = group.Wait()
	summary := burn.Merge(sources)
	var failures []*burn.HistogramError
	summary.Times, failures = burn.MergeHistograms(times(sources, found))
	for _, f := range failures {
		summary.UnreadTimes = append(summary.UnreadTimes, f.Error())
	}
	return summary
}

// AnyRead returns an error if the summary is of no router at all.
func AnyRead(s burn.Summary) error {
	for _, r := range s.Routers {
		if r.Read {
			return nil
		}
	}
	return &NoRouterError{Asked: len(s.Routers)}
}

func read(ctx context.Context, client *http.Client, address string, into *vars) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(into); err != nil {
		return err
	}
	if into.Burn == nil {
		return &NoReportError{}
	}
	return nil
}

func times(sources []burn.Source, found []vars) []burn.EncodedHistogram {
	var out []burn.EncodedHistogram
	for i, s := range sources {
		if s.Published == nil {
			continue
		}
		for metric, members := range map[string]map[string]packed{
			"first_chunk":  found[i].FirstChunk,
			"chunk_gap":    found[i].ChunkGap,
			"request_time": found[i].RequestTime,
		} {
			for member, p := range members {
				out = append(out, burn.EncodedHistogram{Address: s.Address, Metric: metric, Member: member, Data: p.HDR})
			}
		}
	}
	return out
}
