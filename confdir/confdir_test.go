package confdir_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/confdir"
	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
)

// Guards against a check that succeeds because the operator named a wrong folder,
// which holds no configuration files.
func TestCheckRejectsEmptyFolder(t *testing.T) {
	var empty *confdir.EmptyError
	if _, _, err := confdir.Check(t.TempDir(), nil); !errors.As(err, &empty) {
		t.Errorf("%v", err)
	}
}

// Guards against output that scripts can no longer parse by line and colon.
func TestCheckOutput(t *testing.T) {
	for _, name := range []string{"good", "bad"} {
		result, report, err := confdir.Check("testdata/"+name, nil)
		if err != nil || (result == nil) != (name == "bad") {
			t.Errorf("%s: got result %v, error %v", name, result, err)
		}
		var out bytes.Buffer
		err = configreport.Write(&out, report, configreport.Options{})
		var refused *configcheck.RefusedError
		if errors.As(err, &refused) != (name == "bad") {
			t.Errorf("%s: got error %v", name, err)
		}
		if refused != nil {
			out.WriteString(refused.Error() + "\n")
		}
		goldie.New(t).Assert(t, "check-"+name, out.Bytes())
	}
}

// Guards against an explanation that omits an overridden file or a default.
func TestExplainOutput(t *testing.T) {
	var out bytes.Buffer
	if err := confdir.Explain(&out, "testdata/good", "members.north"); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "explain", out.Bytes())
	var unknown *config.UnknownKeyError
	if err := confdir.Explain(&out, "testdata/good", "members.south"); !errors.As(err, &unknown) {
		t.Errorf("unknown key: got error %v, want UnknownKeyError", err)
	}
}

// Guards against untyped errors and against reading large files into memory.
func TestUnreadableFolders(t *testing.T) {
	var unreadable *confdir.ReadError
	if _, err := confdir.Read(filepath.Join(t.TempDir(), "none")); !errors.As(err, &unreadable) {
		t.Errorf("missing folder: got error %v, want ReadError", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.toml"), make([]byte, config.MaxBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	var large *confdir.TooLargeError
	if _, err := confdir.Read(dir); !errors.As(err, &large) {
		t.Errorf("large folder: got error %v, want TooLargeError", err)
	}
}
