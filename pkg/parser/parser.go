package parser

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Document is a parsed document with the positions of its values and the findings so far.
type Document struct {
	file string
	data []byte
	// offsets maps the path of each value to its offset in data.
	offsets  map[string]int
	findings Findings
}

// Parse decodes data into the value that v points to. The file is the name used in findings.
// Syntax errors, unknown or duplicate names and values of the wrong type become findings of the
// document.
func Parse(file string, data []byte, v any) *Document {
	d := &Document{file: file, data: data, offsets: map[string]int{"": 0}}
	// hujson requires a line break after a line comment at the end of the document.
	root, err := hujson.Parse(append(bytes.Clone(data), '\n'))
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decodeValue("", root, reflect.ValueOf(v).Elem())
	return d
}

// addSyntaxError adds a syntax error of hujson, whose text begins with the position.
func (d *Document) addSyntaxError(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	f := Finding{File: d.file, Position: Position{1, 1}, Message: text}
	var line, column int
	if _, e := fmt.Sscanf(text, "line %d, column %d:", &line, &column); e == nil {
		_, message, _ := strings.Cut(text, ": ")
		f.Position, f.Message = Position{line, column}, message
	}
	d.findings = append(d.findings, f)
}

// AddFinding adds a finding about the value at a path. If the document has no such value, the
// position is that of the closest enclosing value.
func (d *Document) AddFinding(path, format string, args ...any) {
	d.addAt(d.offset(path), path, fmt.Sprintf(format, args...))
}

// Findings returns the findings so far.
func (d *Document) Findings() Findings { return d.findings }

// Err returns the findings, sorted by position, as an error, or nil if there are none.
func (d *Document) Err() error { return d.findings.Err() }

// offset returns the offset of the value at a path or of the closest enclosing value.
func (d *Document) offset(path string) int {
	for {
		if o, ok := d.offsets[path]; ok {
			return o
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return d.offsets[""]
		}
		path = path[:i]
	}
}

// addAt adds a finding at an offset in the document.
func (d *Document) addAt(offset int, path, message string) {
	before := d.data[:min(offset, len(d.data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.findings = append(d.findings, Finding{File: d.file, Position: Position{line, column}, Path: path, Message: message})
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

// decodeValue decodes a value according to the type of to.
func (d *Document) decodeValue(path string, v hujson.Value, to reflect.Value) {
	d.offsets[path] = v.StartOffset
	if to.Kind() == reflect.Pointer && !to.Type().Implements(textType) {
		if to.IsNil() {
			to.Set(reflect.New(to.Type().Elem()))
		}
		to = to.Elem()
	}
	switch {
	case to.Type() == durationType:
		d.decodeDuration(path, v, to)
	case reflect.PointerTo(to.Type()).Implements(textType), to.Type() == rawType:
		d.decodeLeaf(path, v, to)
	case to.Kind() == reflect.Struct:
		d.decodeObject(path, v, to)
	case to.Kind() == reflect.Map:
		d.decodeMap(path, v, to)
	case to.Kind() == reflect.Slice:
		d.decodeSlice(path, v, to)
	default:
		d.decodeLeaf(path, v, to)
	}
}

func (d *Document) decodeDuration(path string, v hujson.Value, to reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.AddFinding(path, "must be a duration such as \"2s\" or \"150ms\"")
		return
	}
	t, err := time.ParseDuration(l.String())
	if err != nil {
		d.AddFinding(path, "%q is not a duration such as \"2s\" or \"150ms\"", l.String())
		return
	}
	to.SetInt(int64(t))
}

// decodeLeaf decodes a value that is not decoded element by element.
func (d *Document) decodeLeaf(path string, v hujson.Value, to reflect.Value) {
	v = v.Clone()
	v.Standardize()
	if err := json.Unmarshal(v.Pack(), to.Addr().Interface()); err != nil {
		d.AddFinding(path, "%s", describeError(err, to))
	}
}

func describeError(err error, to reflect.Value) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Sprintf("must have type %s, not %s", to.Kind(), t.Value)
	}
	return err.Error()
}

func (d *Document) objectMembers(path string, v hujson.Value) ([]hujson.ObjectMember, bool) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.AddFinding(path, "must be an object")
		return nil, false
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.addAt(m.Name.StartOffset, joinPath(path, name), "is set twice")
		}
		seen[name] = true
	}
	return o.Members, true
}

func (d *Document) decodeObject(path string, v hujson.Value, to reflect.Value) {
	members, _ := d.objectMembers(path, v)
	fields := fieldsOf(to)
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fields[name]
		if !ok {
			d.addAt(m.Name.StartOffset, joinPath(path, name), unknownNameMessage(name, fields))
			continue
		}
		d.decodeValue(joinPath(path, name), m.Value, field)
	}
}

// fieldsOf returns the fields of a struct, including those of embedded structs, by their JSON names.
func fieldsOf(to reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range to.NumField() {
		f := to.Type().Field(i)
		if f.Anonymous {
			for n, v := range fieldsOf(to.Field(i)) {
				fields[n] = v
			}
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && name != "-" && name != "" {
			fields[name] = to.Field(i)
		}
	}
	return fields
}

func (d *Document) decodeMap(path string, v hujson.Value, to reflect.Value) {
	members, ok := d.objectMembers(path, v)
	if !ok {
		return
	}
	to.Set(reflect.MakeMapWithSize(to.Type(), len(members)))
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		e := reflect.New(to.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, name), m.Value, e)
		to.SetMapIndex(reflect.ValueOf(name).Convert(to.Type().Key()), e)
	}
}

func (d *Document) decodeSlice(path string, v hujson.Value, to reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.AddFinding(path, "must be a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.decodeValue(joinPath(path, strconv.Itoa(i)), e, to.Index(i))
	}
}

// maxSuggestionDistance is the largest edit distance at which a known name is suggested for an
// unknown one.
const maxSuggestionDistance = 3

func unknownNameMessage(name string, fields map[string]reflect.Value) string {
	best, distance := "", maxSuggestionDistance+1
	for n := range fields {
		if t := editDistance(name, n); t < distance || t == distance && n < best {
			best, distance = n, t
		}
	}
	if best == "" {
		return "is no known name"
	}
	return fmt.Sprintf("is no known name; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two names, ignoring case.
func editDistance(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
