package confdir_test

import (
	"os"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/confdir"
	"github.com/mulberryfork/mulberryfork/decide/settings"
)

// Guards against examples that the current checks reject, or whose size no longer
// matches the users' deployments.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"vale-do-sousa", "slnecne-bodky"} {
		r, err := confdir.Load("../examples/" + name)
		if err != nil {
			t.Errorf("%s:\n%v", name, err)
			continue
		}
		models, plain, highShare := 0, 0, 0
		for _, u := range r.Config.Upstreams {
			if u.Kind == api.UpstreamModel {
				models++
			} else {
				plain++
			}
		}
		for _, m := range r.Config.Members {
			if m.Share > 1 {
				highShare++
			}
		}
		if len(r.Config.Zones) != 3 || models != 12 || plain != 3 || len(r.Config.Members) != 10 || highShare != 3 {
			t.Errorf("%s: %d zones, %d model upstreams, %d plain upstreams, %d members, %d with a share above 1",
				name, len(r.Config.Zones), models, plain, len(r.Config.Members), highShare)
		}
	}
	for _, role := range []settings.Role{settings.Router, settings.Agent} {
		name := string(role) + ".toml"
		data, err := os.ReadFile("../examples/settings/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if _, errs := settings.Read(name, data, role); errs != nil {
			t.Errorf("%v", errs)
		}
	}
}
