// Package tomltree reads TOML into a tree that knows the file and line of each
// key, merges trees, and decodes a tree into a struct. It does no I/O.
package tomltree

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxDepth bounds the nesting of tables, including dotted keys.
const MaxDepth = 8

// MaxKeyBytes bounds one part of a key.
const MaxKeyBytes = 256

// MaxTableKeys bounds the keys of one table in one file. The time of the TOML
// decoder grows with the square of it: 40,000 keys take seconds.
const MaxTableKeys = 2048

// Origin is the place that set a key.
type Origin struct {
	File string
	Line int
}

// Node is a table or a value with its origin.
type Node struct {
	Origin
	// Overrides lists the origins of values that this one replaced, oldest first.
	Overrides []Origin
	// Table is nil for a value.
	Table map[string]*Node
	Value any
}

// NewTable returns an empty table without an origin.
func NewTable() *Node { return &Node{Table: map[string]*Node{}} }

// Get returns the node at a path, or nil.
func (n *Node) Get(path ...string) *Node {
	for _, key := range path {
		if n == nil || n.Table == nil {
			return nil
		}
		n = n.Table[key]
	}
	return n
}

// Parse reads one file.
func Parse(file string, data []byte) (*Node, *Error) {
	lines, failure := scanLines(file, data)
	if failure != nil {
		return nil, failure
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, syntaxError(file, err)
	}
	b := builder{file: file, lines: lines}
	return b.table(values, nil, 1), nil
}

func syntaxError(file string, err error) *Error {
	e := &Error{File: file, Line: 1, Kind: Syntax, Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		e.Line, _ = decode.Position()
		e.Key = Join(decode.Key())
	}
	return e
}

// Join writes a path as a dotted key.
func Join(path []string) string { return strings.Join(path, ".") }

// pathSeparator cannot occur in a TOML key that is written in a file without
// escapes, which keeps paths apart that differ only in where a dot stands.
const pathSeparator = "\x00"

type lineIndex struct {
	file     string
	lines    map[string]int
	children map[string]int
	newlines []int
	prefix   []string
}

// scanLines records the line of each key, and refuses what exceeds the bounds
// before the decoder sees it.
func scanLines(file string, data []byte) (map[string]int, *Error) {
	x := lineIndex{file: file, lines: map[string]int{}, children: map[string]int{}}
	for i, c := range data {
		if c == '\n' {
			x.newlines = append(x.newlines, i)
		}
	}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		if failure := x.expression(p.Expression()); failure != nil {
			return nil, failure
		}
	}
	// A parser error is reported by the decoder, which knows the position.
	return x.lines, nil
}

func (x *lineIndex) expression(n *unstable.Node) (failure *Error) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.prefix, failure = x.record(nil, n.Key())
	case unstable.KeyValue:
		failure = x.keyValue(x.prefix, n)
	}
	return failure
}

func (x *lineIndex) keyValue(prefix []string, n *unstable.Node) *Error {
	path, failure := x.record(prefix, n.Key())
	if failure != nil {
		return failure
	}
	return x.inside(path, n.Value())
}

// inside records the keys of inline tables, also of those in arrays.
func (x *lineIndex) inside(path []string, n *unstable.Node) (failure *Error) {
	if n.Kind != unstable.InlineTable && n.Kind != unstable.Array {
		return nil
	}
	for it := n.Children(); it.Next() && failure == nil; {
		if it.Node().Kind == unstable.KeyValue {
			failure = x.keyValue(path, it.Node())
			continue
		}
		failure = x.inside(path, it.Node())
	}
	return failure
}

func (x *lineIndex) record(prefix []string, keys unstable.Iterator) (path []string, failure *Error) {
	path = append(path, prefix...)
	for keys.Next() {
		line := x.lineAt(int(keys.Node().Raw.Offset))
		if len(path) == MaxDepth || len(keys.Node().Data) > MaxKeyBytes {
			message := fmt.Sprintf("tables are nested deeper than %d, or a key is longer than %d bytes", MaxDepth, MaxKeyBytes)
			return path, &Error{File: x.file, Line: line, Kind: TooDeep, Message: message}
		}
		parent := strings.Join(path, pathSeparator)
		path = append(path, string(keys.Node().Data))
		name := strings.Join(path, pathSeparator)
		if _, ok := x.lines[name]; ok {
			continue
		}
		x.lines[name] = line
		x.children[parent]++
		if x.children[parent] > MaxTableKeys {
			message := fmt.Sprintf("one table has more than %d keys in this file", MaxTableKeys)
			return path, &Error{File: x.file, Line: line, Key: Join(path[:len(path)-1]), Kind: TooLarge, Message: message}
		}
	}
	return path, nil
}

func (x *lineIndex) lineAt(offset int) int {
	return 1 + sort.SearchInts(x.newlines, offset)
}

type builder struct {
	file  string
	lines map[string]int
}

func (b *builder) table(values map[string]any, path []string, line int) *Node {
	n := &Node{Origin: Origin{File: b.file, Line: line}, Table: map[string]*Node{}}
	for key, v := range values {
		inner := append(path[:len(path):len(path)], key)
		at := line
		if l, ok := b.lines[strings.Join(inner, pathSeparator)]; ok {
			at = l
		}
		if sub, ok := v.(map[string]any); ok {
			n.Table[key] = b.table(sub, inner, at)
			continue
		}
		n.Table[key] = &Node{Origin: Origin{File: b.file, Line: at}, Value: v}
	}
	return n
}
