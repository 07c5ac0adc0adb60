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
	lines    map[string]int
	newlines []int
	prefix   []string
}

// scanLines records the line of each key, and refuses deep nesting before
// anything recursive sees it.
func scanLines(file string, data []byte) (map[string]int, *Error) {
	x := lineIndex{lines: map[string]int{}}
	for i, c := range data {
		if c == '\n' {
			x.newlines = append(x.newlines, i)
		}
	}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		if line := x.expression(p.Expression()); line > 0 {
			return nil, &Error{
				File: file, Line: line, Kind: TooDeep,
				Message: fmt.Sprintf("tables are nested deeper than %d, or a key is longer than %d bytes", MaxDepth, MaxKeyBytes),
			}
		}
	}
	// A parser error is reported by the decoder, which knows the position.
	return x.lines, nil
}

// expression records the keys of an expression. It returns the line of a key
// that is too deep, or 0.
func (x *lineIndex) expression(n *unstable.Node) int {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.prefix = nil
		path, deep := x.record(nil, n.Key())
		x.prefix = path
		return deep
	case unstable.KeyValue:
		return x.keyValue(x.prefix, n)
	}
	return 0
}

func (x *lineIndex) keyValue(prefix []string, n *unstable.Node) int {
	path, deep := x.record(prefix, n.Key())
	if deep > 0 {
		return deep
	}
	return x.inside(path, n.Value())
}

// inside records the keys of inline tables, also of those in arrays.
func (x *lineIndex) inside(path []string, n *unstable.Node) int {
	deep := 0
	if n.Kind != unstable.InlineTable && n.Kind != unstable.Array {
		return deep
	}
	for it := n.Children(); it.Next() && deep == 0; {
		if it.Node().Kind == unstable.KeyValue {
			deep = x.keyValue(path, it.Node())
			continue
		}
		deep = x.inside(path, it.Node())
	}
	return deep
}

func (x *lineIndex) record(prefix []string, keys unstable.Iterator) (path []string, deep int) {
	path = append(path, prefix...)
	for keys.Next() {
		line := x.lineAt(int(keys.Node().Raw.Offset))
		if len(path) == MaxDepth || len(keys.Node().Data) > MaxKeyBytes {
			return path, line
		}
		path = append(path, string(keys.Node().Data))
		name := strings.Join(path, pathSeparator)
		if _, ok := x.lines[name]; !ok {
			x.lines[name] = line
		}
	}
	return path, 0
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
