package wire

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"google.golang.org/protobuf/proto"
)

// TestCodecKeepsSuspicions guards against a crash report that loses a field in
// the encoding: a suspect would run without isolation, or a harmless request in
// isolation.
func TestCodecKeepsSuspicions(t *testing.T) {
	want := api.Load{Upstream: "u", Suspicions: []api.Suspicion{
		{Fingerprint: 1 << 63, Crashes: []api.Crash{
			{ID: 7, Upstream: "u", Age: time.Minute, Alone: true},
			{ID: 8, Upstream: "v", Age: time.Second, Cleared: true},
		}},
		{Fingerprint: 2},
	}}
	raw, err := proto.Marshal(FromLoad(want))
	if err != nil {
		t.Fatal(err)
	}
	var m Load
	if err := proto.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	if got := ToLoad(&m); !reflect.DeepEqual(got.Suspicions, want.Suspicions) {
		t.Errorf("got %+v, want %+v", got.Suspicions, want.Suspicions)
	}
	if o := ToOrder(FromOrder(api.Order{Isolate: true})); !o.Isolate {
		t.Error("Isolate is lost in the encoding of an order")
	}
}
