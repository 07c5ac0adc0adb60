package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Explanation is the value of one key and its origin.
type Explanation struct {
	Key   string
	Value string
	// Default is true if no file sets the key; Origin is then empty.
	Default bool
	Origin  tomltree.Origin
	// Overridden lists the positions of the replaced values, oldest first.
	Overridden []tomltree.Origin
}

// UnknownKeyError reports a key that does not exist in the configuration.
type UnknownKeyError struct{ Key string }

func (e *UnknownKeyError) Error() string { return "no such key: " + e.Key }

// Explain returns the explanation of a key, or of every key in a table. The
// error is an *UnknownKeyError.
func (r *Result) Explain(key string) ([]Explanation, error) {
	var found []Explanation
	collect(reflect.ValueOf(r.Config).Elem(), r.tree, nil, func(e Explanation) {
		if e.Key == key || strings.HasPrefix(e.Key, key+".") {
			found = append(found, e)
		}
	})
	if len(found) == 0 {
		return nil, &UnknownKeyError{Key: key}
	}
	return found, nil
}

// collect calls add with the explanation of every key.
func collect(v reflect.Value, n *tomltree.Node, path []string, add func(Explanation)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			key := v.Type().Field(i).Tag.Get("toml")
			collect(v.Field(i), n.Get(key), append(path[:len(path):len(path)], key), add)
		}
	case reflect.Map:
		values := v.Interface()
		for _, key := range mapKeys(values) {
			item := v.MapIndex(reflect.ValueOf(key))
			collect(item, n.Get(key), append(path[:len(path):len(path)], key), add)
		}
	default:
		add(explain(v, n, tomltree.Join(path)))
	}
}

// mapKeys returns the keys of a map of any value type, sorted.
func mapKeys(table any) []string {
	keys := reflect.ValueOf(table).MapKeys()
	texts := make([]string, len(keys))
	for i, k := range keys {
		texts[i] = k.String()
	}
	slices.Sort(texts)
	return texts
}

func explain(v reflect.Value, n *tomltree.Node, key string) Explanation {
	e := Explanation{Key: key, Value: valueText(v), Default: n == nil}
	if n != nil {
		e.Origin, e.Overridden = n.Origin, n.Overridden
	}
	return e
}

func valueText(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case api.Duration:
		text, _ := x.MarshalText()
		return fmt.Sprintf("%q", text)
	case []string:
		quoted := make([]string, len(x))
		for i, s := range x {
			quoted[i] = fmt.Sprintf("%q", s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// sortedNames returns the keys of a table, sorted.
func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
