// Package replacedview is a stand-in for discovery, for tests of what is decided while the view
// is being replaced.
package replacedview

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Discovery publishes the view After, and then its age, after given numbers of reads. It is
// not safe for concurrent use.
type Discovery struct {
	api.Discovery
	// ViewAt and AsOfAt are the numbers of reads, of either kind, after which the view and its
	// age are replaced.
	ViewAt, AsOfAt        int
	Before, After         *api.View
	AsOfBefore, AsOfAfter time.Duration
	reads                 int
}

// View returns the view.
func (d *Discovery) View() *api.View {
	defer func() { d.reads++ }()
	if d.reads >= d.ViewAt {
		return d.After
	}
	return d.Before
}

// AsOf returns the time at which the view is said to be current.
func (d *Discovery) AsOf() time.Duration {
	defer func() { d.reads++ }()
	if d.reads >= d.AsOfAt {
		return d.AsOfAfter
	}
	return d.AsOfBefore
}
