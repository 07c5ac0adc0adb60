package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

type explainCommand struct {
	Role     string `arg:"" enum:"edge,side" help:"Role of the process: edge or side."`
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
	Key      string `arg:"" help:"Dotted key, such as edge.poll."`
}

func (c explainCommand) Run() error {
	loaded, err := load(c.Settings, settings.Role(c.Role))
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return &FileError{Path: c.Settings, Err: err}
	}
	return explain(os.Stdout, loaded, c.Settings, data, c.Key)
}

// UnknownKeyError reports a key that is not a setting.
type UnknownKeyError struct{ Key, Nearest string }

func (e *UnknownKeyError) Error() string {
	if e.Nearest == "" {
		return "unknown setting " + e.Key
	}
	return "unknown setting " + e.Key + "; did you mean " + e.Nearest + "?"
}

// explain prints the effective value of a key and the line that sets it.
func explain(w io.Writer, loaded *api.Settings, file string, data []byte, key string) error {
	text, err := toml.Marshal(loaded)
	if err != nil {
		return &FileError{Path: file, Err: err}
	}
	effective, failure := tomltree.Parse(file, text)
	if failure != nil {
		return failure
	}
	fromFile, failure := tomltree.Parse(file, data)
	if failure != nil {
		return failure
	}
	path := strings.Split(key, ".")
	node := effective.Get(path...)
	if node == nil || node.Table != nil {
		return &UnknownKeyError{Key: key, Nearest: tomltree.Nearest(key, keysOf(effective, nil))}
	}
	value, err := json.Marshal(node.Value)
	if err != nil {
		return &FileError{Path: file, Err: err}
	}
	origin := "default"
	if entry := fromFile.Get(path...); entry != nil {
		origin = fmt.Sprintf("%s:%d", file, entry.Line)
	}
	_, err = fmt.Fprintf(w, "%s = %s  # %s\n", key, value, origin)
	return err
}

func keysOf(n *tomltree.Node, path []string) []string {
	if n.Table == nil {
		return []string{tomltree.Join(path)}
	}
	var keys []string
	for name, child := range n.Table {
		keys = append(keys, keysOf(child, append(path[:len(path):len(path)], name))...)
	}
	return keys
}
