package config_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 20260101, Checks: 200})
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestBadInputIsReported guards against invalid input that is accepted, reported
// at the wrong position, or masked by another error. Each file is merged over a
// valid configuration.
func TestBadInputIsReported(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(paths) < 30 {
		t.Fatalf("%d cases, %v", len(paths), err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		t.Run(name, func(t *testing.T) {
			_, errs := config.Merge(map[string][]byte{
				"10-base.toml": readFile(t, "testdata/base.toml"),
				"20-bad.toml":  readFile(t, path),
			})
			if errs == nil {
				t.Fatal("accepted")
			}
			var tomlErr *tomltree.Error
			if !errors.As(errs, &tomlErr) {
				t.Error("the error wraps no *tomltree.Error")
			}
			golden.Assert(t, name, []byte(errs.Error()+"\n"))
		})
	}
}

// TestWarnings guards against entries without effect that the check does not find, and
// against warnings about a configuration without such entries. Each file is merged over a
// valid configuration.
func TestWarnings(t *testing.T) {
	base := readFile(t, "testdata/base.toml")
	process := &configcheck.Process{StopDeadline: 45 * time.Second}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/warn"))
	for _, name := range []string{"none", "members", "services", "patterns", "shares", "capacity", "unreachable"} {
		r, errs := config.Merge(map[string][]byte{"10-base.toml": base, "20-warn.toml": readFile(t, "testdata/warn/"+name+".toml")})
		if errs != nil {
			t.Fatal(errs)
		}
		var out strings.Builder
		for _, f := range configcheck.Check(r.Model(), process) {
			fmt.Fprintln(&out, f.Severity, f)
		}
		golden.Assert(t, name, []byte(out.String()))
	}
}

// BenchmarkCheck merges, checks and compares a folder of 10,000 entries. The target is less
// than a second.
func BenchmarkCheck(b *testing.B) {
	files := map[string][]byte{}
	for i := range 5 {
		var text strings.Builder
		for j := range 2000 {
			fmt.Fprintf(&text, "[members.m%d-%d]\nshare = 2\nqueue_requests = 3\nrequests_per_second = 4\n", i, j)
		}
		files[fmt.Sprint(i, ".toml")] = []byte(text.String())
	}
	before, errs := config.Merge(files)
	if errs != nil {
		b.Fatal(errs)
	}
	for b.Loop() {
		r, _ := config.Merge(files)
		configcheck.Check(r.Model(), nil)
		configcheck.Diff(before.Model(), r.Model())
	}
}

// TestValidInputGetsDefaults guards against rejecting a valid configuration, and
// against defaults that are missing or replace an explicit value.
func TestValidInputGetsDefaults(t *testing.T) {
	r, errs := config.Merge(map[string][]byte{
		"a.toml": readFile(t, "testdata/base.toml"),
		"b.toml": nil,
		"c.toml": []byte("[members.north]\nrequests_per_second = 0\nshare = 3\n[pool]\nretry_ratio = 0\n"),
	})
	if errs != nil {
		t.Fatal(errs)
	}
	north := r.Config.Members["north"]
	if north.Share != 3 || north.QueueRequests != config.DefaultQueueRequests || len(north.TokenHashes) != 1 {
		t.Errorf("member %+v", north)
	}
	if r.Config.Pool.RetryRatio != 0 || r.Config.Pool.LedgerEntries != config.DefaultLedgerEntries {
		t.Errorf("pool %+v", r.Config.Pool)
	}
	group := r.Config.Groups["g1"]
	if group.SlotsPerRank != 3 {
		t.Errorf("group %+v", group)
	}
}

// TestExplainNamesTheFileThatSetTheKey guards against reporting the wrong file or
// line for a key that several files set.
func TestExplainNamesTheFileThatSetTheKey(t *testing.T) {
	r, errs := config.Merge(map[string][]byte{
		"a.toml": []byte("[members.north]\nshare = 1\n"),
		"b.toml": []byte("# comment\n[members]\nnorth.share = 2\n"),
		"c.toml": []byte("[members]\nnorth = {share = 4}\n"),
	})
	if errs != nil {
		t.Fatal(errs)
	}
	found, err := r.Explain("members.north.share")
	want := []config.Explanation{{
		Key: "members.north.share", Value: "4",
		Origin:     tomltree.Origin{File: "c.toml", Line: 2},
		Overridden: []tomltree.Origin{{File: "a.toml", Line: 2}, {File: "b.toml", Line: 3}},
	}}
	if err != nil || !reflect.DeepEqual(found, want) {
		t.Errorf("got %+v, %v", found, err)
	}
	if found, err := r.Explain("members.north"); err != nil || len(found) != 6 || !found[1].Default {
		t.Errorf("table: %+v, %v", found, err)
	}
	var unknown *config.UnknownKeyError
	if _, err := r.Explain("members.south"); !errors.As(err, &unknown) {
		t.Errorf("unknown key: %v", err)
	}
}

// TestSizeIsBounded guards against parsing files of unlimited size.
func TestSizeIsBounded(t *testing.T) {
	comment := []byte("#" + strings.Repeat("x", config.MaxBytes/2))
	_, errs := config.Merge(map[string][]byte{"a": comment, "b": comment, "c": nil})
	if errs == nil || errs.All[0].Kind != tomltree.TooLarge || errs.All[0].File != "b" {
		t.Errorf("got %v", errs)
	}
}

// TestSuggestionsAreBounded guards against an invalid revision that keeps every
// process busy: without a limit, the search for similar names compares each
// undefined name with each defined name.
func TestSuggestionsAreBounded(t *testing.T) {
	var text strings.Builder
	for i := range 2 * tomltree.MaxSuggestions {
		fmt.Fprintf(&text, "[zones.zone-%03d]\n[members.member-%03d]\nzones = [\"zone_%03d\"]\n", i, i, i)
	}
	_, errs := config.Merge(map[string][]byte{"a": []byte(text.String())})
	if errs == nil || len(errs.All) != 2*tomltree.MaxSuggestions {
		t.Fatalf("got %v", errs)
	}
	if n := strings.Count(errs.Error(), "did you mean"); n != tomltree.MaxSuggestions {
		t.Errorf("%d suggestions", n)
	}
}

// TestDigestCoversNamesAndContents guards against a digest that ignores file
// names or the boundaries between files.
func TestDigestCoversNamesAndContents(t *testing.T) {
	fileSets := []map[string][]byte{
		{"a": []byte("x"), "b": nil}, {"a": nil, "b": []byte("x")}, {"ax": nil, "b": nil}, {"a": []byte("xb")}, {},
	}
	seen := map[uint64]int{}
	for i, files := range fileSets {
		d := config.Digest(files)
		if j, ok := seen[d]; ok {
			t.Errorf("sets %d and %d have the same digest", j, i)
		}
		seen[d] = i
	}
}

// TestLaterFileWins guards against a merge in which an earlier file overrides a
// later one. The reference model is a loop over the files in name order.
func TestLaterFileWins(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		files, want := map[string][]byte{}, map[string]float64{}
		for _, file := range names {
			text := ""
			for _, member := range names {
				if rapid.Bool().Draw(t, "set") {
					share := rapid.SampledFrom([]string{"1", "2", "4"}).Draw(t, "share")
					text += "[members." + member + "]\nshare = " + share + "\n"
					want[member] = float64(share[0] - '0')
				}
			}
			files[file] = []byte(text)
		}
		r, errs := config.Merge(files)
		if errs != nil {
			t.Fatal(errs)
		}
		for member, share := range want {
			if got := r.Config.Members[member].Share; got != share {
				t.Errorf("%s has %v, want %v", member, got, share)
			}
		}
	})
}

// FuzzMerge guards against panics, and against results that differ between
// processes, for example because of map iteration order.
func FuzzMerge(f *testing.F) {
	paths, _ := filepath.Glob("testdata/bad/*.toml")
	for _, path := range paths {
		f.Add(readFile(f, "testdata/base.toml"), readFile(f, path))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, errsA := config.Merge(map[string][]byte{"1": first, "2": second})
		b, errsB := config.Merge(map[string][]byte{"2": second, "1": first})
		if !reflect.DeepEqual(errsA, errsB) {
			t.Fatalf("errors differ:\n%v\n%v", errsA, errsB)
		}
		if (a == nil) == (errsA == nil) {
			t.Fatal("got both or neither of a result and errors")
		}
		if a != nil && (a.Digest != b.Digest || !reflect.DeepEqual(a.Config, b.Config)) {
			t.Fatal("results differ")
		}
	})
}
