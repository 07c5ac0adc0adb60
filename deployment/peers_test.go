package deployment_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/deployment"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
)

// leavingNoticeTime is the longest time from a change of the membership list until
// all nodes know that the VM is leaving.
const leavingNoticeTime = 3 * time.Second

func startModelPool(ctx context.Context, t *testing.T, o deployment.Options) *deployment.Deployment {
	t.Helper()
	o.Zones, o.Members, o.Idempotent = []string{"porto-a", "porto-b"}, map[string]float64{"desk": 1}, true
	for name, zone := range map[string]string{"engine-1": "porto-a", "engine-2": "porto-b"} {
		engine := modelengine.New(modelengine.Options{
			Clock: kernel.BootClock{}, Models: []string{deployment.Model}, StepBaseTime: time.Millisecond,
		})
		o.Upstreams = append(o.Upstreams, deployment.Upstream{
			Name: name, Zone: zone, Handler: engine, MaxRequests: 8, ColdRequests: 4,
		})
	}
	pool, err := deployment.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := pool.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return pool
}

func configStore(t *testing.T, n *deployment.Node) api.ConfigStore {
	t.Helper()
	s, err := kernel.Find[api.ConfigStore](n.Process.Host, api.ServiceConfigStore)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func allNodes(pool *deployment.Deployment) []*deployment.Node {
	return append(append([]*deployment.Node(nil), pool.Routers...), pool.Agents...)
}

// Guards against a process that reads a new revision but does not pass it on to its
// peers, and against a process that returns to an older revision after a restart
// because its replica is stale.
func TestRevisionSpreadsBetweenPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	pool := startModelPool(ctx, t, deployment.Options{Routers: 2, Replicas: map[string]int{"router-1": 1}})
	before := configStore(t, pool.Routers[0]).Current().Revision
	pool.Config.SetDown(0, true)
	if err := pool.Publish("90-extra.toml", "[members.desk]\nshare = 2\n"); err != nil {
		t.Fatal(err)
	}
	if !configStore(t, pool.Routers[0]).WaitRevision(ctx, before+1) {
		t.Fatal("the router whose replica is up did not read the revision")
	}
	pool.Config.SetDown(1, true)
	for _, n := range allNodes(pool) {
		if !configStore(t, n).WaitRevision(ctx, before+1) {
			t.Errorf("%s is at revision %d", n.Name, configStore(t, n).Current().Revision)
		}
	}
	pool.Config.SetStale(0, before)
	pool.Config.SetDown(0, false)
	if err := pool.RestartRouter(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := pool.Routers[1].Process.WaitConfigured(ctx); err != nil {
		t.Fatal(err)
	}
	if got := configStore(t, pool.Routers[1]).Current().Revision; got != before+1 {
		t.Errorf("after a restart with a stale replica: revision %d, want %d", got, before+1)
	}
}

// startedRequests returns the number of requests that an agent has started.
func startedRequests(ctx context.Context, t *testing.T, n *deployment.Node) float64 {
	t.Helper()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddress+"/debug/vars", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Started map[string]float64 `json:"work_started"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	return vars.Started["desk"]
}

func expectComplete(ctx context.Context, t *testing.T, url, prompt string) {
	t.Helper()
	body := `{"model":"` + deployment.Model + `","max_tokens":2,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+deployment.Token("desk"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	responseBody, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d: %s", resp.StatusCode, responseBody)
	}
}

// Guards against new requests to a VM that is leaving according to the membership
// list alone, also if the router or the agent cannot read the list.
func TestLeavingVMGetsNoWork(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	pool := startModelPool(ctx, t, deployment.Options{
		Routers: 2, WithoutMembershipList: []string{"router-2", "vm-engine-1", "vm-engine-2"},
	})
	leaving := pool.Agents[0]
	pool.SetVMState(leaving, api.VMLeaving)
	<-time.After(leavingNoticeTime)
	before := startedRequests(ctx, t, leaving)
	for i := range 20 {
		for _, r := range pool.Routers {
			expectComplete(ctx, t, r.URL, strings.Repeat("word ", 40*(i+1)))
		}
	}
	if after := startedRequests(ctx, t, leaving); after != before {
		t.Errorf("%s started %v requests while it was leaving", leaving.Name, after-before)
	}
	if n := startedRequests(ctx, t, pool.Agents[1]); n < 40 {
		t.Errorf("the other upstream started %v of 40 requests", n)
	}
}
