package stage

import (
	"encoding/json"
	"fmt"
	"strings"
)

// render fills in a settings template as DEPLOY.md describes, as far as the templates of this
// project use it: values, values as JSON, and sections over lists of texts.
func render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("placeholder %q is not closed", rest)
		}
		if section, ok := strings.CutPrefix(name, "#"); ok {
			inner, tail, ended := strings.Cut(after, "{{/"+section+"}}")
			if !ended {
				return "", fmt.Errorf("section %q is not closed", section)
			}
			items, _ := lookUp(fields, section).([]string)
			for i, item := range items {
				comma := ","
				if i == len(items)-1 {
					comma = ""
				}
				text := strings.ReplaceAll(inner, "{{,}}", comma)
				out.WriteString(strings.ReplaceAll(text, "{{.|json}}", asJSON(item)))
			}
			template = tail
			continue
		}
		path, isJSON := strings.CutSuffix(name, "|json")
		value := lookUp(fields, path)
		switch {
		case value == nil:
			return "", fmt.Errorf("no value for %q", path)
		case isJSON:
			out.WriteString(asJSON(value))
		default:
			fmt.Fprint(&out, value)
		}
		template = after
	}
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[name]
	}
	return value
}

func asJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}
