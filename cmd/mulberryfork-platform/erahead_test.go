package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// eraWriter replaces the era that a store states.
type eraWriter struct {
	http.ResponseWriter
	era string
}

func (w *eraWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	if w.era != "" {
		w.Header().Set("Store-Era", w.era)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.ResponseWriter.Write(data)
}

// stateEra makes the store state an era to the process in each answer for which the function
// returns one. The answers are counted from 0.
func (d *drill) stateEra(era func(n int64) (string, bool)) {
	var count atomic.Int64
	d.front.setAnswer(func(w http.ResponseWriter, r *http.Request) bool {
		text, replaced := era(count.Add(1) - 1)
		if replaced {
			d.store.ServeHTTP(&eraWriter{ResponseWriter: w, era: text}, r)
		}
		return replaced
	})
}

// Guards against a process that never reads again, or keeps an old configuration, since some or
// all answers state an era that is lower than before, far higher, or none.
func TestOddEraOfStore(t *testing.T) {
	t.Parallel()
	once := func(era string) func(int64) (string, bool) {
		return func(n int64) (string, bool) { return era, n == 0 }
	}
	always := func(era string) func(int64) (string, bool) {
		return func(int64) (string, bool) { return era, true }
	}
	for name, era := range map[string]func(n int64) (string, bool){
		"missing once":          once(""),
		"missing at times":      func(n int64) (string, bool) { return "", n%3 == 0 },
		"no number once":        once("x"),
		"negative once":         once("-4"),
		"beyond 64 bits once":   once("99999999999999999999"),
		"largest number once":   once("18446744073709551615"),
		"beyond 63 bits once":   once("9223372036854775808"),
		"far higher once":       once("9000"),
		"far higher from now":   always("9000"),
		"lower once":            once("1"),
		"lower from now":        always("1"),
		"lower, then as before": func(n int64) (string, bool) { return "1", n < 12 },
		"higher, then lower":    func(n int64) (string, bool) { return []string{"90", "1"}[min(n/6, 1)], true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrill(t)
			d.store.SetEra(5)
			d.start()
			d.awaitVersion(3)
			d.stateEra(era)
			// The watch that waits is not the first of these answers.
			d.store.Put("op/evacuate/z7", []byte("{}"))
			d.comeBack()
			d.requireFollowed(3)
			for version := range 3 {
				d.store.Put("op/config", fmt.Appendf(nil, configFormat, 10+version, 10+version))
				d.awaitView(func(v *api.View) bool { return v.Table.Version == uint64(10+version) })
			}
		})
	}
}
