package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/decide/settings"
)

// TestBadSettingsAreReported guards against accepting settings of another role,
// host names, or missing TLS files. The name of a case starts with the role.
func TestBadSettingsAreReported(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d cases, %v", len(paths), err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			role, _, _ := strings.Cut(name, "_")
			_, errs := settings.Read(name+".toml", data, settings.Role(role))
			if errs == nil {
				t.Fatal("accepted")
			}
			g.Assert(t, name, []byte(errs.Error()+"\n"))
		})
	}
}

// TestValidSettingsGetDefaults guards against missing defaults, and against
// rejecting port 0, with which the operating system chooses the port.
func TestValidSettingsGetDefaults(t *testing.T) {
	text := "node = \"r1\"\nzone = \"za\"\n[config]\nfolder = \"conf\"\n[tls]\nplain = true\n[listen]\nhttp = \"127.0.0.1:0\"\nlink = \"127.0.0.1:0\"\n"
	s, errs := settings.Read("r.toml", []byte(text), settings.Router)
	if errs != nil {
		t.Fatal(errs)
	}
	if s.Listen.HTTP != "127.0.0.1:0" || s.Listen.Admin != settings.DefaultListenAdmin || s.Limits.Streams != settings.DefaultStreams {
		t.Errorf("settings %+v", s)
	}
}
