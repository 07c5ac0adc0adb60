package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryfork/mulberryfork/deployment"
)

const (
	demoTimeout  = 30 * time.Second
	demoRequests = 9
	demoMember   = "desk"
)

type demoCommand struct {
	Serve bool `help:"Keep serving after the requests until interrupted, for use with curl."`
	Logs  bool `help:"Print the log lines of all processes to standard error."`
}

// Run starts a pool, sends requests through it and prints the results.
func (c demoCommand) Run(s streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := demoOptions()
	if c.Logs {
		options.Log = s.err
	}
	startCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	pool, err := deployment.Start(startCtx, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "started %d routers and %d agents in zones %s, mutual TLS between them\n",
		len(pool.Routers), len(pool.Agents), strings.Join(options.Zones, ", "))
	err = c.sendRequests(ctx, s, pool)
	if err == nil && c.Serve {
		printServeHint(s.out, pool)
		<-ctx.Done()
	}
	stopErr := pool.Stop(context.WithoutCancel(ctx))
	if err == nil {
		err = stopErr
	}
	if err == nil {
		fmt.Fprintln(s.out, "stopped; no request was interrupted")
	}
	return err
}

func (c demoCommand) sendRequests(ctx context.Context, s streams, pool *deployment.Deployment) error {
	sendCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	client := demoClient{pool: pool, out: s.out, http: &http.Client{}}
	defer client.http.CloseIdleConnections()
	for i := range demoRequests {
		if err := client.streamCompletion(sendCtx, i); err != nil {
			return err
		}
	}
	if err := client.bookAndRetry(sendCtx); err != nil {
		return err
	}
	return client.printCounters(sendCtx)
}

func printServeHint(out io.Writer, pool *deployment.Deployment) {
	router := pool.Routers[0]
	fmt.Fprintf(out, "serving; try:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n"+
		"  curl http://%s/debug/vars\n  mulberryfork burn --from %s\ninterrupt to stop\n",
		router.URL, deployment.Token(demoMember), deployment.Model, router.AdminAddress, adminAddresses(pool))
}

func adminAddresses(pool *deployment.Deployment) string {
	addresses := make([]string, 0, len(pool.Routers))
	for _, n := range pool.Routers {
		addresses = append(addresses, n.AdminAddress)
	}
	return strings.Join(addresses, ",")
}

type demoClient struct {
	pool *deployment.Deployment
	out  io.Writer
	http *http.Client
}

// DemoError reports an unexpected response in the demonstration.
type DemoError struct {
	Step string
	Got  string
}

func (e *DemoError) Error() string { return e.Step + ": got " + e.Got }

func (c demoClient) post(ctx context.Context, routerIndex int, path, body, key string) (*http.Response, error) {
	url := c.pool.Routers[routerIndex%len(c.pool.Routers)].URL + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token(demoMember))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	return resp, eris.Wrap(err, "send request")
}

// streamCompletion requests one streamed completion, checks that it is complete and
// prints a summary.
func (c demoClient) streamCompletion(ctx context.Context, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Summarise inspection note %d."}]}`,
		deployment.Model, i)
	start := time.Now()
	resp, err := c.post(ctx, i, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	events, untilFirst, last := 0, time.Duration(0), ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if events == 0 {
			untilFirst = time.Since(start)
		}
		events++
		last = data
	}
	if resp.StatusCode != http.StatusOK || last != "[DONE]" {
		return &DemoError{Step: "streamed response", Got: fmt.Sprintf("status %d ending in %q", resp.StatusCode, last)}
	}
	fmt.Fprintf(c.out, "request %d: complete response of %d events, first after %s, router %s\n",
		i+1, events, untilFirst.Round(time.Microsecond*100), c.pool.Routers[i%len(c.pool.Routers)].Name)
	return nil
}

// bookAndRetry makes a booking, retries it with the same idempotency key through
// another router and checks that both responses are the same.
func (c demoClient) bookAndRetry(ctx context.Context) error {
	key, err := c.issueKey(ctx)
	if err != nil {
		return err
	}
	first, err := c.postBooking(ctx, 0, key)
	if err != nil {
		return err
	}
	retried, err := c.postBooking(ctx, 1, key)
	if err != nil {
		return err
	}
	if first != retried {
		return &DemoError{Step: "retried booking", Got: fmt.Sprintf("%q after %q", retried, first)}
	}
	fmt.Fprintf(c.out, "booking: %s\nbooking retried through another router: the recorded response, not a second run\n",
		strings.TrimSpace(first))
	return nil
}

func (c demoClient) issueKey(ctx context.Context) (string, error) {
	resp, err := c.post(ctx, 0, "/v1/keys", `{"service":"`+deployment.Service+`"}`, "")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var issued struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil || issued.Key == "" {
		return "", &DemoError{Step: "key", Got: resp.Status}
	}
	return issued.Key, nil
}

func (c demoClient) postBooking(ctx context.Context, routerIndex int, key string) (string, error) {
	resp, err := c.post(ctx, routerIndex, "/services/"+deployment.Service+"/visits", `{"home":"Rua 5","day":"2027-01-11"}`, key)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", eris.Wrap(err, "read booking response")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return "", &DemoError{Step: "booking", Got: resp.Status + " " + string(body)}
	}
	return string(body), nil
}

// shownCounters are the counters that the demonstration prints.
var shownCounters = []string{"requests", "answers_whole", "failures", "retries", "link_up", "work_started", "ledger_repeats", "server_orders"}

func (c demoClient) printCounters(ctx context.Context) error {
	fmt.Fprintln(c.out, "counters:")
	for _, n := range append(slices.Clone(c.pool.Routers), c.pool.Agents...) {
		values, err := c.readCounters(ctx, n.AdminAddress)
		if err != nil {
			return err
		}
		var shown []string
		for _, name := range shownCounters {
			if v, ok := values[name]; ok {
				shown = append(shown, name+"="+string(v))
			}
		}
		fmt.Fprintf(c.out, "  %-16s %s\n", n.Name, strings.Join(shown, " "))
	}
	return nil
}

func (c demoClient) readCounters(ctx context.Context, admin string) (map[string]json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/vars", nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read counters")
	}
	defer resp.Body.Close()
	var values map[string]json.RawMessage
	return values, eris.Wrap(json.NewDecoder(resp.Body).Decode(&values), "decode counters")
}
