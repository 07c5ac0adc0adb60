package main

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests to an upstream that is known to have left, because the store came
// back from a copy in which it is available and was away again before its lease there ended.
func TestUpstreamThatLeftGetsNoRequestsAfterSecondAbsenceOfStore(t *testing.T) {
	t.Parallel()
	for _, says := range []bool{true, false} {
		for _, c := range []struct {
			name  string
			again func(f *drainFleet)
		}{
			{"second copy", func(f *drainFleet) {
				<-time.After(700 * time.Millisecond)
				f.goAway(5 * time.Second)
				<-time.After(time.Second)
			}},
			{"refusals", func(f *drainFleet) {
				<-time.After(lease - 200*time.Millisecond)
				f.store.SetFailureStatus(http.StatusServiceUnavailable)
				<-time.After(200 * time.Millisecond)
				f.store.DeleteUpstream("w1")
				<-time.After(2 * time.Second)
				f.store.SetFailureStatus(0)
			}},
			{"lease begins again", func(f *drainFleet) {
				<-time.After(lease - 200*time.Millisecond)
				f.store.SetFailureStatus(http.StatusServiceUnavailable)
				<-time.After(300 * time.Millisecond)
				f.store.SetFailureStatus(0)
				<-time.After(lease)
				f.store.DeleteUpstream("w1")
				<-time.After(time.Second)
			}},
		} {
			t.Run(c.name+"/"+map[bool]string{true: "draining", false: "removed"}[says], func(t *testing.T) {
				t.Parallel()
				f := newDrainFleet(t, 2, 1000)
				leftAt := f.leave(says)
				f.goAway(300 * time.Millisecond)
				c.again(f)
				f.checkArrivals(leftAt)
			})
		}
	}
}

// Guards against requests to an upstream that is known to leave, because the writes that the
// store has lost are written again in turn, and the first says that it is available.
func TestLeavingUpstreamGetsNoRequestsWhileItsWritesAreRepeated(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t, 2, 1000)
	leftAt := f.leave(true)
	f.goAway(500 * time.Millisecond)
	<-time.After(800 * time.Millisecond)
	f.writeLeaving(false)
	<-time.After(1700 * time.Millisecond)
	f.writeLeaving(true)
	<-time.After(time.Second)
	f.checkArrivals(leftAt)
}
