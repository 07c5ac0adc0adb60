// Package tomltree parses TOML into a tree that holds the file and line of each
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

// MaxDepth limits the nesting of tables, including dotted keys.
const MaxDepth = 8

// MaxKeyBytes limits the length of one part of a dotted key.
const MaxKeyBytes = 256

// MaxTableKeys limits the keys of one table in one file. The time of the TOML
// decoder is quadratic in their number: 40,000 keys take seconds.
const MaxTableKeys = 2048

// Origin is the position at which a file sets a key.
type Origin struct {
	File string
	Line int
}

// Node is a table or a value with its origin.
type Node struct {
	Origin
	// Overridden lists the origins of values that this one replaced, oldest first.
	Overridden []Origin
	// Table holds the keys of a table and is nil for a value.
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

// Parse parses one file. It fails on a syntax error or an exceeded limit.
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

// Join returns a path as a dotted key.
func Join(path []string) string { return strings.Join(path, ".") }

// pathSeparator cannot occur unescaped in a TOML key, unlike a dot, so that the
// paths ["a.b", "c"] and ["a", "b.c"] differ.
const pathSeparator = "\x00"

// lineIndex maps each key path to its line and counts the keys of each table.
type lineIndex struct {
	file      string
	lines     map[string]int
	keyCounts map[string]int
	newlines  []int
	prefix    []string
}

// scanLines returns the line of each key. It rejects files that exceed a limit
// before they reach the decoder.
func scanLines(file string, data []byte) (map[string]int, *Error) {
	x := lineIndex{file: file, lines: map[string]int{}, keyCounts: map[string]int{}}
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
	// Syntax errors are left to the decoder, which reports their position.
	return x.lines, nil
}

func (x *lineIndex) expression(n *unstable.Node) (failure *Error) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.prefix, failure = x.recordKey(nil, n.Key())
	case unstable.KeyValue:
		failure = x.keyValue(x.prefix, n)
	}
	return failure
}

func (x *lineIndex) keyValue(prefix []string, n *unstable.Node) *Error {
	path, failure := x.recordKey(prefix, n.Key())
	if failure != nil {
		return failure
	}
	return x.inlineKeys(path, n.Value())
}

// inlineKeys records the keys of inline tables, including those within arrays.
func (x *lineIndex) inlineKeys(path []string, n *unstable.Node) (failure *Error) {
	if n.Kind != unstable.InlineTable && n.Kind != unstable.Array {
		return nil
	}
	for it := n.Children(); it.Next() && failure == nil; {
		if it.Node().Kind == unstable.KeyValue {
			failure = x.keyValue(path, it.Node())
			continue
		}
		failure = x.inlineKeys(path, it.Node())
	}
	return failure
}

// recordKey adds the line of a dotted key and of the tables on its path, and
// returns the whole path.
func (x *lineIndex) recordKey(prefix []string, keys unstable.Iterator) (path []string, failure *Error) {
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
		x.keyCounts[parent]++
		if x.keyCounts[parent] > MaxTableKeys {
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
		keyLine := line
		if l, ok := b.lines[strings.Join(inner, pathSeparator)]; ok {
			keyLine = l
		}
		if sub, ok := v.(map[string]any); ok {
			n.Table[key] = b.table(sub, inner, keyLine)
			continue
		}
		n.Table[key] = &Node{Origin: Origin{File: b.file, Line: keyLine}, Value: v}
	}
	return n
}
