package storewatch_test

import (
	"errors"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
	"github.com/mulberryfork/mulberryfork/decide/storeera"
	"github.com/mulberryfork/mulberryfork/decide/storewatch"
)

var (
	errUnavailable = errors.New("status 503")
	errGone        = errors.New("status 410")
)

// simReader joins the decisions of one process as platform/store.go and service/discovery do.
type simReader struct {
	*simClock
	store  *simStore
	name   string
	state  *discovery.State
	era    storeera.Tracker
	reader *storewatch.Reader
	conn   *simConn
	view   *api.View

	stopped     bool
	pausedUntil time.Duration
	// cutUntil is the end of the time in which nothing passes between it and the store, and
	// refusedUntil that of the time in which the store refuses it alone.
	cutUntil, refusedUntil time.Duration
	// disruptedAt is the last time at which it did not run, or had no path to the store.
	disruptedAt time.Duration
	// calls and lists are the times of the last calls and of the begin of lists.
	calls, lists []time.Duration
	onRead       func(*simReader, api.DiscoveryUpdate)
	onView       func(*simReader, discovery.Change)
	logf         func(string, ...any)
}

func newSimReader(c *simClock, store *simStore, name string, bounds discovery.Bounds) *simReader {
	return &simReader{
		simClock: c, store: store, name: name, conn: &simConn{}, view: &api.View{}, disruptedAt: c.now,
		state: discovery.New(bounds), reader: storewatch.New(storewatch.Settings{Bounds: bounds}),
	}
}

// later runs a function of the process after some time, while it is not paused.
func (r *simReader) later(d time.Duration, run func()) {
	r.after(d, func() {
		switch {
		case r.stopped:
		case r.now < r.pausedUntil:
			r.later(r.pausedUntil-r.now, run)
		default:
			run()
		}
	})
}

// next begins the next read.
func (r *simReader) next() {
	read := r.reader.Next()
	r.later(read.Delay, func() {
		if read.NewConnection {
			r.conn = &simConn{}
		}
		u := api.DiscoveryUpdate{AsOf: r.now, Full: read.Kind == storewatch.List}
		l := &simRead{simReader: r, read: read, update: u, inEra: r.era.Begin()}
		if u.Full {
			r.lists = append(r.lists, r.now)
			l.page([]string{"op/", "servers/"}, "")
			return
		}
		l.watch()
	})
}

// simRead is a read that takes one call or several.
type simRead struct {
	*simReader
	read   storewatch.Read
	update api.DiscoveryUpdate
	inEra  *storeera.Read
	// first is the revision of the store at the first page.
	first uint64
}

func (l *simRead) page(prefixes []string, lastKey string) {
	l.call(simQuery{prefix: prefixes[0], key: lastKey}, func(a simAnswer) {
		if l.first == 0 {
			l.first, l.update.FirstAnswerAt = a.at, l.now
		}
		l.update.Items, l.update.Revision = append(l.update.Items, a.items...), a.at
		switch {
		case a.more:
			l.page(prefixes, a.items[len(a.items)-1].Key)
		case len(prefixes) > 1:
			l.page(prefixes[1:], "")
		default:
			l.apply()
			l.reader.Listed(l.now, l.first)
			l.next()
		}
	})
}

func (l *simRead) watch() {
	l.call(simQuery{watch: true, after: l.read.After, wait: l.read.Wait}, func(a simAnswer) {
		if len(a.items) == 0 && l.now-l.update.AsOf >= l.read.Wait {
			l.update.AsOf += l.read.Wait
		}
		last := uint64(0)
		for _, item := range a.items {
			last = max(last, item.Revision)
		}
		l.update.Items = a.items
		l.apply()
		l.reader.Watched(l.now, last)
		l.next()
	})
}

func (l *simRead) apply() {
	l.update.Era = l.inEra.Era()
	l.onRead(l.simReader, l.update)
	l.handle(l.state.Apply(l.now, l.update))
}

// call sends a query and handles its answer, or the failure of the read.
func (l *simRead) call(q simQuery, handle func(simAnswer)) {
	l.calls = append(l.calls, l.now)
	l.logf("%s: call %+v, new connection %t", l.name, q, l.read.NewConnection)
	ended, conn := false, l.conn
	end := func(a simAnswer) {
		if ended {
			return
		}
		ended = true
		err := a.err
		if !errors.Is(err, errTimeout) && !errors.Is(err, errRefused) {
			if eraErr := l.inEra.Check(a.era); eraErr != nil {
				err = eraErr
			}
		}
		l.logf("%s: answer of era %d, %d entries, %v", l.name, a.era, len(a.items), err)
		if err == nil {
			handle(a)
			return
		}
		l.fail(err)
	}
	l.later(l.read.Timeout, func() { end(simAnswer{err: errTimeout}) })
	l.travel(conn, func() {
		if l.now < l.refusedUntil {
			l.travel(conn, func() { end(l.store.refusal()) })
			return
		}
		l.store.call(q, func(a simAnswer) {
			l.travel(conn, func() { l.later(0, func() { end(a) }) })
		})
	})
}

// travel runs a function at the other end of a connection, unless it is lost on the way.
func (l *simRead) travel(conn *simConn, arrive func()) {
	l.after((l.store.latency+l.store.delay)/2, func() {
		if l.now < l.cutUntil {
			conn.dead = true
		}
		if !conn.dead {
			arrive()
		}
	})
}

func (l *simRead) fail(err error) {
	var newEra *storeera.NewEraError
	if errors.As(err, &newEra) {
		l.reader.Restart()
	} else {
		l.reader.Failed(l.read, errors.Is(err, errTimeout))
	}
	if newEra == nil && !errors.Is(err, errGone) {
		l.handle(l.state.Apply(l.now, api.DiscoveryUpdate{Err: err}))
	}
	l.next()
}

// handle publishes a change and schedules the next tick.
func (r *simReader) handle(c discovery.Change) {
	if c.NextTick > 0 {
		r.later(c.NextTick-r.now, func() { r.handle(r.state.Tick(r.now)) })
	}
	if c.View != nil {
		r.view = c.View
	}
	r.onView(r, c)
}

// inTouch reports whether the process ran and had a path to a stable store for some time.
func (r *simReader) inTouch(span time.Duration) bool {
	return r.store.absence == present && r.now-r.disruptedAt >= span && r.now-r.store.disruptedAt >= span
}
