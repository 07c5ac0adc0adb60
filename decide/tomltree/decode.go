package tomltree

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Decode decodes a tree into the struct that dst points to, by its toml tags,
// and returns an error for every unknown key and wrong type. Invalid values are
// removed from the tree, so that defaults replace them.
func Decode(n *Node, dst any) []*Error {
	d := decoder{}
	d.decodeStruct(n, reflect.ValueOf(dst).Elem(), nil)
	for _, path := range d.invalid {
		delete(n.Get(path[:len(path)-1]...).Table, path[len(path)-1])
	}
	return d.errs
}

// MergeErrors returns the errors of two checks. It drops a later error if its key
// already has an earlier one: a value of the wrong type must not also be reported
// as missing.
func MergeErrors(earlier, later []*Error) []*Error {
	reported := map[string]bool{}
	for _, e := range earlier {
		reported[e.Key] = true
	}
	all := slices.Clone(earlier)
	for _, e := range later {
		if !reported[e.Key] {
			all = append(all, e)
		}
	}
	return all
}

type decoder struct {
	errs      []*Error
	invalid   [][]string
	suggester suggester
}

// addError records an error. Decode removes the value from the tree unless its
// key is unknown.
func (d *decoder) addError(n *Node, path []string, k Kind, message string) {
	if k != UnknownKey && (len(d.invalid) == 0 || !slices.Equal(d.invalid[len(d.invalid)-1], path)) {
		d.invalid = append(d.invalid, path)
	}
	d.errs = append(d.errs, &Error{File: n.File, Line: n.Line, Key: Join(path), Kind: k, Message: message})
}

func (d *decoder) wrongType(n *Node, path []string, want string) {
	got := "a table"
	if n.Table == nil {
		got = typeName(n.Value)
	}
	d.addError(n, path, WrongType, "expected "+want+", got "+got)
}

func (d *decoder) decodeValue(n *Node, v reflect.Value, path []string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, t, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Map:
		d.decodeMap(n, v, path)
	case reflect.Slice:
		d.decodeList(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeText(n *Node, t encoding.TextUnmarshaler, path []string) {
	s, ok := n.Value.(string)
	if !ok {
		d.wrongType(n, path, "a duration such as \"1.5s\"")
		return
	}
	if err := t.UnmarshalText([]byte(s)); err != nil {
		d.addError(n, path, BadDuration, err.Error())
	}
}

func (d *decoder) decodeStruct(n *Node, v reflect.Value, path []string) {
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
			d.addError(n.Table[key], inner, UnknownKey, "no such key"+d.suggester.suggest(key, maps.Keys(fields)))
			continue
		}
		d.decodeValue(n.Table[key], v.Field(i), inner)
	}
}

func (d *decoder) decodeMap(n *Node, v reflect.Value, path []string) {
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
		d.decodeValue(n.Table[key], item, inner)
		v.SetMapIndex(reflect.ValueOf(key), item)
	}
}

func (d *decoder) decodeList(n *Node, v reflect.Value, path []string) {
	items, ok := n.Value.([]any)
	if !ok {
		d.wrongType(n, path, "an array of strings")
		return
	}
	texts := make([]string, 0, len(items))
	for i, item := range items {
		s, ok := item.(string)
		if !ok {
			d.addError(n, path, WrongType, fmt.Sprintf("item %d: expected a string, got %s", i+1, typeName(item)))
			continue
		}
		texts = append(texts, s)
	}
	v.Set(reflect.ValueOf(texts))
}

func (d *decoder) decodeScalar(n *Node, v reflect.Value, path []string) {
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
		d.wrongType(n, path, "a boolean")
	case reflect.Float64:
		d.decodeFloat(n, v, path)
	default:
		if i, ok := n.Value.(int64); ok {
			v.SetInt(i)
			return
		}
		d.wrongType(n, path, "an integer")
	}
}

func (d *decoder) decodeFloat(n *Node, v reflect.Value, path []string) {
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
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
