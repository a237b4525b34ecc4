package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a parsed settings file that keeps the position of each value.
type document struct {
	data []byte
	root hujson.Value
}

func parseDocument(data []byte) (document, error) {
	root, err := hujson.Parse(data)
	return document{data: data, root: root}, err
}

// line returns the 1-based line of a dotted path such as "agent.slots". For a
// missing value it returns the line of the nearest parent that is present.
func (d document) line(path string) int {
	value := d.root
	for name := range strings.SplitSeq(path, ".") {
		next, ok := member(value, name)
		if !ok {
			break
		}
		value = next
	}
	return d.lineAt(value.StartOffset)
}

func (d document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func member(value hujson.Value, name string) (hujson.Value, bool) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return hujson.Value{}, false
	}
	for _, m := range object.Members {
		if literalText(m.Name) == name {
			return m.Value, true
		}
	}
	return hujson.Value{}, false
}

func literalText(value hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// decode fills target, a pointer to a struct, and reports each unknown key,
// duplicate key and value of the wrong type with its line.
func (d document) decode(target any, p *problems) {
	d.decodeValue(d.root, reflect.ValueOf(target).Elem(), "", p)
}

func (d document) decodeValue(value hujson.Value, target reflect.Value, path string, p *problems) {
	if target.Kind() == reflect.Pointer {
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		target = target.Elem()
	}
	_, isUnmarshaler := target.Addr().Interface().(json.Unmarshaler)
	switch {
	case isUnmarshaler:
		d.decodeLiteral(value, target, path, p)
	case target.Kind() == reflect.Struct:
		d.decodeObject(value, target, path, p)
	case target.Kind() == reflect.Slice:
		d.decodeArray(value, target, path, p)
	default:
		d.decodeLiteral(value, target, path, p)
	}
}

func (d document) decodeObject(value hujson.Value, target reflect.Value, path string, p *problems) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.addLine(d.lineAt(value.StartOffset), path, "must be an object: { … }")
		return
	}
	fields := fieldsByName(target)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := literalText(m.Name)
		line, fullPath := d.lineAt(m.Name.StartOffset), join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			p.addLine(line, fullPath, "is not a known setting"+suggestion(name, fields))
		case seen[name]:
			p.addLine(line, fullPath, "is set twice: remove one")
		default:
			d.decodeValue(m.Value, field, fullPath, p)
		}
		seen[name] = true
	}
}

func (d document) decodeArray(value hujson.Value, target reflect.Value, path string, p *problems) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		p.addLine(d.lineAt(value.StartOffset), path, "must be a list: [ … ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(element, target.Index(i), path, p)
	}
}

func (d document) decodeLiteral(value hujson.Value, target reflect.Value, path string, p *problems) {
	standard := value.Clone()
	standard.BeforeExtra, standard.AfterExtra = nil, nil
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	if err == nil {
		return
	}
	message := err.Error()
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		message = "must be " + typeName(target.Kind())
	}
	p.addLine(d.lineAt(value.StartOffset), path, message)
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return `text: "…"`
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number without a unit"
	}
}

func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = target.Field(i)
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxEditDistance is the largest edit distance between an unknown key and the key
// that is suggested instead.
const maxEditDistance = 3

func suggestion(name string, fields map[string]reflect.Value) string {
	best, bestDistance := "", maxEditDistance+1
	for candidate := range fields {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate))
		if distance < bestDistance || distance == bestDistance && candidate < best {
			best, bestDistance = candidate, distance
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			current[j+1] = min(previous[j]+cost, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
