package confdir_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against undocumented keys: the operators' pages must list the keys of each
// configuration table in its own section, and each dotted key of the settings.
func TestDocsListEveryKey(t *testing.T) {
	pages := map[string]string{}
	for _, name := range []string{"configuration-files.md", "settings.md"} {
		data, err := os.ReadFile("../docs/operators/" + name)
		if err != nil {
			t.Fatal(err)
		}
		pages[name] = string(data)
	}
	for field := range structFields(reflect.TypeFor[api.Config]()) {
		_, after, _ := strings.Cut(pages["configuration-files.md"], "\n## `["+field.Tag.Get("toml"))
		section, _, _ := strings.Cut(after, "\n## ")
		table := field.Type
		if table.Kind() == reflect.Map {
			table = table.Elem()
		}
		for key := range structFields(table) {
			expectRow(t, section, field.Tag.Get("toml")+" ", key.Tag.Get("toml"))
		}
	}
	for field := range structFields(reflect.TypeFor[api.Settings]()) {
		if field.Type.Kind() != reflect.Struct {
			expectRow(t, pages["settings.md"], "settings ", field.Tag.Get("toml"))
			continue
		}
		for key := range structFields(field.Type) {
			expectRow(t, pages["settings.md"], "settings ", field.Tag.Get("toml")+"."+key.Tag.Get("toml"))
		}
	}
}

// Guards against kinds of findings that are not documented or that no golden file covers.
func TestFindingsAreDocumentedAndCovered(t *testing.T) {
	source, err := os.ReadFile("../decide/configcheck/model.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/operators/commands.md")
	if err != nil {
		t.Fatal(err)
	}
	var golden []byte
	for _, pattern := range []string{"../platform/testdata/check/*.golden", "../decide/config/testdata/warn/*.golden", "../cmd/*/testdata/check*.golden"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			data, _ := os.ReadFile(path)
			golden = append(golden, data...)
		}
	}
	kinds := regexp.MustCompile(`Kind = "(\w+)"`).FindAllSubmatch(source, -1)
	if len(kinds) < 20 {
		t.Fatalf("%d kinds", len(kinds))
	}
	for _, kind := range kinds {
		if !regexp.MustCompile("\n\\|[^|]*`" + string(kind[1]) + "`").Match(page) {
			t.Errorf("%s is not documented", kind[1])
		}
		if !bytes.Contains(golden, []byte(": "+string(kind[1])+": ")) {
			t.Errorf("no golden file has %s", kind[1])
		}
	}
}

func expectRow(t *testing.T, text, where, key string) {
	t.Helper()
	if !strings.Contains(text, "\n| `"+key+"` |") {
		t.Errorf("%s%s is not documented", where, key)
	}
}

func structFields(table reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range table.NumField() {
			if !yield(table.Field(i)) {
				return
			}
		}
	}
}
