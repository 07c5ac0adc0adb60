package confdir_test

import (
	"os"
	"reflect"
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
