package tomltree

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Decode writes a tree into the struct that dst points to, by its toml tags.
// It reports every unknown key and wrong type. Values in error are taken out
// of the tree, so that defaults apply to them.
func Decode(n *Node, dst any) []*Error {
	d := decoder{}
	d.structure(n, reflect.ValueOf(dst).Elem(), nil)
	for _, path := range d.bad {
		delete(n.Get(path[:len(path)-1]...).Table, path[len(path)-1])
	}
	return d.errs
}

// WithoutRepeats drops later problems of keys that already have one, such as
// a missing value where the value has a wrong type.
func WithoutRepeats(first, later []*Error) []*Error {
	reported := map[string]bool{}
	for _, e := range first {
		reported[e.Key] = true
	}
	all := slices.Clone(first)
	for _, e := range later {
		if !reported[e.Key] {
			all = append(all, e)
		}
	}
	return all
}

type decoder struct {
	errs  []*Error
	bad   [][]string
	hints hints
}

func (d *decoder) fail(n *Node, path []string, k Kind, message string) {
	if k != UnknownKey && (len(d.bad) == 0 || !slices.Equal(d.bad[len(d.bad)-1], path)) {
		d.bad = append(d.bad, path)
	}
	d.errs = append(d.errs, &Error{File: n.File, Line: n.Line, Key: Join(path), Kind: k, Message: message})
}

func (d *decoder) wrongType(n *Node, path []string, want string) {
	got := "a table"
	if n.Table == nil {
		got = typeName(n.Value)
	}
	d.fail(n, path, WrongType, "must be "+want+", is "+got)
}

func (d *decoder) value(n *Node, v reflect.Value, path []string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, t, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, v, path)
	case reflect.Map:
		d.mapping(n, v, path)
	case reflect.Slice:
		d.list(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *decoder) text(n *Node, t encoding.TextUnmarshaler, path []string) {
	s, ok := n.Value.(string)
	if !ok {
		d.wrongType(n, path, "a duration such as \"1.5s\"")
		return
	}
	if err := t.UnmarshalText([]byte(s)); err != nil {
		d.fail(n, path, BadDuration, err.Error())
	}
}

func (d *decoder) structure(n *Node, v reflect.Value, path []string) {
	if n.Table == nil {
		d.wrongType(n, path, "a table")
		return
	}
	fields := map[string]int{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("toml")] = i
	}
	for _, key := range slices.Sorted(maps.Keys(n.Table)) {
		inner := append(path[:len(path):len(path)], key)
		i, ok := fields[key]
		if !ok {
			d.fail(n.Table[key], inner, UnknownKey, "no such key"+d.hints.suggest(key, maps.Keys(fields)))
			continue
		}
		d.value(n.Table[key], v.Field(i), inner)
	}
}

func (d *decoder) mapping(n *Node, v reflect.Value, path []string) {
	if n.Table == nil {
		d.wrongType(n, path, "a table of tables")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, key := range slices.Sorted(maps.Keys(n.Table)) {
		item := reflect.New(v.Type().Elem()).Elem()
		inner := append(path[:len(path):len(path)], key)
		if n.Table[key].Table == nil {
			d.wrongType(n.Table[key], inner, "a table")
			continue
		}
		d.value(n.Table[key], item, inner)
		v.SetMapIndex(reflect.ValueOf(key), item)
	}
}

func (d *decoder) list(n *Node, v reflect.Value, path []string) {
	items, ok := n.Value.([]any)
	if !ok {
		d.wrongType(n, path, "an array of strings")
		return
	}
	texts := make([]string, 0, len(items))
	for i, item := range items {
		s, ok := item.(string)
		if !ok {
			d.fail(n, path, WrongType, fmt.Sprintf("item %d must be a string, is %s", i+1, typeName(item)))
			continue
		}
		texts = append(texts, s)
	}
	v.Set(reflect.ValueOf(texts))
}

func (d *decoder) scalar(n *Node, v reflect.Value, path []string) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := n.Value.(string); ok {
			v.SetString(s)
			return
		}
		d.wrongType(n, path, "a string")
	case reflect.Bool:
		if b, ok := n.Value.(bool); ok {
			v.SetBool(b)
			return
		}
		d.wrongType(n, path, "true or false")
	case reflect.Float64:
		d.float(n, v, path)
	default:
		if i, ok := n.Value.(int64); ok {
			v.SetInt(i)
			return
		}
		d.wrongType(n, path, "a whole number")
	}
}

func (d *decoder) float(n *Node, v reflect.Value, path []string) {
	switch x := n.Value.(type) {
	case float64:
		v.SetFloat(x)
	case int64:
		v.SetFloat(float64(x))
	default:
		d.wrongType(n, path, "a number")
	}
}

func typeName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
