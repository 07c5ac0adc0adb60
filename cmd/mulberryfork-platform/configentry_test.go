package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// unusableConfigs returns values of the configuration's entry, as the store states them, that
// no process can use.
func unusableConfigs() map[string]string {
	valid := fmt.Sprintf(configFormat, 9, 9)
	encode := func(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }
	return map[string]string{
		"no base64":        "%%%",
		"empty":            "",
		"no document":      encode("\xff\xfe{"),
		"cut off":          encode(valid[:200]),
		"of another type":  encode(`{"version":9,"routes":"all"}`),
		"refused by check": encode(strings.Replace(valid, `"host":"h.example",`, "", 1)),
	}
}

// requireStatus fails the test unless an order with a key is answered with a status.
func (f *fixture) requireStatus(when, path, key string, want int) {
	f.t.Helper()
	response, _, err := f.send(path, key, "whole")
	if err != nil || response.StatusCode != want {
		f.t.Errorf("%s: %s with %s: %+v, %v, want status %d", when, path, key, response, err, want)
	}
}

// awaitRead waits until the process has read everything written before.
func (f *fixture) awaitRead(marker string) {
	f.t.Helper()
	f.store.Put("op/evacuate/"+marker, []byte("{}"))
	f.awaitView(func(v *api.View) bool { return v.ZonesOut[marker] })
}

// Guards against a configuration that can't be used and takes the place of the active one, and
// against a process that ignores valid ones after it.
func TestUnusableConfigurationInWatchChangesNothing(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	version := 1
	for name, value := range unusableConfigs() {
		f.store.PutEncoded("op/config", value)
		f.awaitRead(fmt.Sprint("read", version))
		f.requireStatus(name, "/u/x", fmt.Sprint("key", version), http.StatusOK)
		f.requireStatus(name, "/u/x", "key9", http.StatusUnauthorized)
		version++
		f.store.Put("op/config", fmt.Appendf(nil, configFormat, version, version))
		f.awaitView(func(v *api.View) bool { return v.Table.Version == uint64(version) })
		f.requireStatus("after "+name, "/u/x", fmt.Sprint("key", version-1), http.StatusUnauthorized)
	}
}

// Guards against a process whose first read finds a configuration that can't be used: it must
// refuse nothing with 401 or 404, and take the next valid one.
func TestUnusableConfigurationInFirstRead(t *testing.T) {
	t.Parallel()
	for name, value := range unusableConfigs() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.PutEncoded("op/config", value)
			f.process = startEdge(t, edgeSettings("n2", f.storeAddress, "", 200))
			f.useProcess(f.process)
			f.awaitRead("z9")
			if status := f.readiness(); status == http.StatusOK {
				t.Error("ready without a configuration")
			}
			f.requireStatus("before the first valid one", "/u/x", "key1", http.StatusServiceUnavailable)
			f.requireStatus("before the first valid one", "/none/x", "other", http.StatusServiceUnavailable)
			f.store.Put("op/config", fmt.Appendf(nil, configFormat, 2, 2))
			f.awaitReady()
			f.requireStatus("after", "/u/x", "key2", http.StatusOK)
			f.requireStatus("after", "/u/x", "key1", http.StatusUnauthorized)
		})
	}
}

// Guards against a configuration that can't be used as the first one that is read after the
// store came back from a copy, written since or part of the copy.
func TestUnusableConfigurationInNewEra(t *testing.T) {
	t.Parallel()
	for name, value := range unusableConfigs() {
		for _, copied := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in the copy %t", name, copied), func(t *testing.T) {
				f := newFixture(t)
				f.store.SetEra(1)
				if copied {
					f.store.PutEncoded("op/config", value)
				}
				held := f.store.Copy()
				f.store.Put("op/config", fmt.Appendf(nil, configFormat, 3, 3))
				f.awaitView(func(v *api.View) bool { return v.Table.Version == 3 })
				f.store.SetFailureStatus(http.StatusServiceUnavailable)
				f.store.Restore(held)
				if !copied {
					f.store.PutEncoded("op/config", value)
				}
				f.store.SetFailureStatus(0)
				f.awaitRead("z9")
				f.awaitReady()
				f.requireStatus("unusable", "/u/x", "key3", http.StatusOK)
				f.requireStatus("unusable", "/u/x", "key9", http.StatusUnauthorized)
				f.store.Put("op/config", fmt.Appendf(nil, configFormat, 5, 5))
				f.awaitView(func(v *api.View) bool { return v.Table.Version == 5 })
				f.requireStatus("after", "/u/x", "key3", http.StatusUnauthorized)
			})
		}
	}
}

// Guards against a large configuration that an edge does not read, or whose last routes it does
// not serve.
func TestLargeConfigurationIsServed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	const route = `{"name":"r%d","host":"h.example","prefix":"/r%d/%s/","kind":"idempotent","timeoutMs":4000,"service":"svc","maxAttempts":2}`
	for version, padding := range []int{10, 400} {
		var routes []string
		for i := range 2000 {
			routes = append(routes, fmt.Sprintf(route, i, i, strings.Repeat("x", padding)))
		}
		text := fmt.Sprintf(configFormat, version+2, 1)
		f.store.Put("op/config", []byte(strings.Replace(text, `"routes":[`, `"routes":[`+strings.Join(routes, ",")+",", 1)))
		f.awaitView(func(v *api.View) bool { return v.Table.Version == uint64(version+2) })
		for _, i := range []int{0, 1999} {
			f.requireStatus("large", fmt.Sprintf("/r%d/%s/x", i, strings.Repeat("x", padding)), "key1", http.StatusOK)
		}
	}
}
