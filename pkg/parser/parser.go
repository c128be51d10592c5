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

// Document is a parsed document that collects findings and knows where its values stand.
type Document struct {
	file     string
	data     []byte
	offsets  map[string]int
	findings Findings
}

// Parse reads data into the value that v points to. Syntax errors, unknown and
// repeated names and values of the wrong type become findings of the document.
func Parse(file string, data []byte, v any) *Document {
	d := &Document{file: file, data: data, offsets: map[string]int{"": 0}}
	// A comment may end the document without a line break.
	root, err := hujson.Parse(append(bytes.Clone(data), '\n'))
	if err != nil {
		d.syntax(err)
		return d
	}
	d.value("", root, reflect.ValueOf(v).Elem())
	return d
}

// syntax reports an error of the parser, which gives its place in its text.
func (d *Document) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	f := Finding{File: d.file, Place: Place{1, 1}, Message: text}
	var line, column int
	if _, e := fmt.Sscanf(text, "line %d, column %d:", &line, &column); e == nil {
		_, message, _ := strings.Cut(text, ": ")
		f.Place, f.Message = Place{line, column}, message
	}
	d.findings = append(d.findings, f)
}

// AddFinding adds a finding about the value at a path, or about the closest value around it.
func (d *Document) AddFinding(path, format string, args ...any) {
	d.at(d.offset(path), path, fmt.Sprintf(format, args...))
}

// Findings returns what was found so far.
func (d *Document) Findings() Findings { return d.findings }

// Err returns the findings as an error, or nil.
func (d *Document) Err() error { return d.findings.Err() }

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

func (d *Document) at(offset int, path, message string) {
	before := d.data[:min(offset, len(d.data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.findings = append(d.findings, Finding{File: d.file, Place: Place{line, column}, Path: path, Message: message})
}

func join(path, name string) string {
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

func (d *Document) value(path string, v hujson.Value, to reflect.Value) {
	d.offsets[path] = v.StartOffset
	if to.Kind() == reflect.Pointer && !to.Type().Implements(textType) {
		if to.IsNil() {
			to.Set(reflect.New(to.Type().Elem()))
		}
		to = to.Elem()
	}
	switch {
	case to.Type() == durationType:
		d.duration(path, v, to)
	case reflect.PointerTo(to.Type()).Implements(textType), to.Type() == rawType:
		d.leaf(path, v, to)
	case to.Kind() == reflect.Struct:
		d.object(path, v, to)
	case to.Kind() == reflect.Map:
		d.mapping(path, v, to)
	case to.Kind() == reflect.Slice:
		d.list(path, v, to)
	default:
		d.leaf(path, v, to)
	}
}

func (d *Document) duration(path string, v hujson.Value, to reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.AddFinding(path, "wants a duration such as \"2s\" or \"150ms\"")
		return
	}
	t, err := time.ParseDuration(l.String())
	if err != nil {
		d.AddFinding(path, "%q is no duration; write it as \"2s\" or \"150ms\"", l.String())
		return
	}
	to.SetInt(int64(t))
}

func (d *Document) leaf(path string, v hujson.Value, to reflect.Value) {
	v = v.Clone()
	v.Standardize()
	if err := json.Unmarshal(v.Pack(), to.Addr().Interface()); err != nil {
		d.AddFinding(path, "%s", describe(err, to))
	}
}

func describe(err error, to reflect.Value) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Sprintf("wants a %s, has a %s", to.Kind(), t.Value)
	}
	return err.Error()
}

func (d *Document) members(path string, v hujson.Value) ([]hujson.ObjectMember, bool) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.AddFinding(path, "wants an object")
		return nil, false
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.at(m.Name.StartOffset, join(path, name), "is set twice")
		}
		seen[name] = true
	}
	return o.Members, true
}

func (d *Document) object(path string, v hujson.Value, to reflect.Value) {
	members, _ := d.members(path, v)
	fields := fieldsOf(to)
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fields[name]
		if !ok {
			d.at(m.Name.StartOffset, join(path, name), unknown(name, fields))
			continue
		}
		d.value(join(path, name), m.Value, field)
	}
}

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

func (d *Document) mapping(path string, v hujson.Value, to reflect.Value) {
	members, ok := d.members(path, v)
	if !ok {
		return
	}
	to.Set(reflect.MakeMapWithSize(to.Type(), len(members)))
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		e := reflect.New(to.Type().Elem()).Elem()
		d.value(join(path, name), m.Value, e)
		to.SetMapIndex(reflect.ValueOf(name).Convert(to.Type().Key()), e)
	}
}

func (d *Document) list(path string, v hujson.Value, to reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.AddFinding(path, "wants a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.value(join(path, strconv.Itoa(i)), e, to.Index(i))
	}
}

// maxTypo is the edit distance up to which a known name is suggested for an unknown one.
const maxTypo = 3

func unknown(name string, fields map[string]reflect.Value) string {
	best, distance := "", maxTypo+1
	for n := range fields {
		if t := typo(name, n); t < distance || t == distance && n < best {
			best, distance = n, t
		}
	}
	if best == "" {
		return "is no known name"
	}
	return fmt.Sprintf("is no known name; did you mean %q?", best)
}

// typo returns the edit distance of two names, upper and lower case alike.
func typo(a, b string) int {
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
