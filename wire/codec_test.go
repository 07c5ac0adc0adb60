package wire_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// fill sets each field of a value to a non-zero value, which differs from those of
// its neighbours, so that a field missing in a codec changes the result.
func fill(v reflect.Value, next *uint64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), next)
		fill(v.Index(1), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(string(rune('a' + *next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(*next % 200)
	}
}

func filled[T any]() T {
	var v T
	var next uint64
	fill(reflect.ValueOf(&v).Elem(), &next)
	return v
}

// roundTrip encodes a message and decodes it into empty.
func roundTrip[M proto.Message](t *testing.T, m, empty M) M {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, empty); err != nil {
		t.Fatal(err)
	}
	return empty
}

// Guards against a field that is added to a type of package api but not to its
// codec.
func TestCodecKeepsEveryField(t *testing.T) {
	failure := filled[api.Failure]()
	failure.Err, failure.Run = nil, api.NotRun
	order, head, chunk := filled[api.Order](), filled[api.Head](), filled[api.Chunk]()
	end := api.End{AttemptID: api.AttemptID{RequestID: "r", Number: 2}, Chunks: 7, Failure: &failure}
	load, query := filled[api.Load](), filled[api.OutcomeQuery]()
	outcome := filled[api.Outcome]()
	outcome.Run, outcome.Failure = api.Ran, &failure
	cases := []struct {
		name      string
		want, got any
	}{
		{"order", order, wire.ToOrder(roundTrip(t, wire.FromOrder(order), &wire.Order{}))},
		{"head", head, wire.ToHead(roundTrip(t, wire.FromHead(head), &wire.Head{}))},
		{"chunk", chunk, wire.ToChunk(roundTrip(t, wire.FromChunk(chunk), &wire.Chunk{}))},
		{"end", end, wire.ToEnd(roundTrip(t, wire.FromEnd(end), &wire.End{}))},
		{"load", load, wire.ToLoad(roundTrip(t, wire.FromLoad(load), &wire.Load{}))},
		{"query", query, wire.ToQuery(roundTrip(t, wire.FromQuery(1, query), &wire.Query{}))},
		{"outcome", outcome, wire.ToOutcome(roundTrip(t, wire.FromOutcome(1, outcome), &wire.Outcome{}))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !reflect.DeepEqual(c.got, c.want) {
				t.Errorf("got  %+v\nwant %+v", c.got, c.want)
			}
		})
	}
}

// FuzzFrames guards against messages that make a decoder panic.
func FuzzFrames(f *testing.F) {
	order := filled[api.Order]()
	seed, err := proto.Marshal(&wire.RouterBatch{Frames: []*wire.RouterFrame{{Body: &wire.RouterFrame_Order{Order: wire.FromOrder(order)}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var fromRouter wire.RouterBatch
		if proto.Unmarshal(data, &fromRouter) == nil {
			for _, frame := range fromRouter.GetFrames() {
				wire.ToOrder(frame.GetOrder())
				wire.ToQuery(frame.GetQuery())
			}
		}
		var fromAgent wire.AgentBatch
		if proto.Unmarshal(data, &fromAgent) != nil {
			return
		}
		for _, frame := range fromAgent.GetFrames() {
			wire.ToHead(frame.GetHead())
			wire.ToChunk(frame.GetChunk())
			wire.ToEnd(frame.GetEnd())
			wire.ToOutcome(frame.GetOutcome())
			wire.ToLoad(frame.GetLoad())
		}
	})
}
