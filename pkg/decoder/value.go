package decoder

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decodeValue decodes v into out and records its offset.
func (d *Decoder) decodeValue(path string, v hujson.Value, out reflect.Value) {
	d.offsets[path] = v.StartOffset
	switch out.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, out)
	case reflect.Slice:
		d.decodeArray(path, v, out)
	case reflect.String:
		d.decodeString(path, v, out)
	case reflect.Bool:
		d.decodeBool(path, v, out)
	case reflect.Int, reflect.Int64:
		d.decodeInt(path, v, out)
	case reflect.Float64:
		d.decodeFloat(path, v, out)
	default:
		panic("decoder: unsupported kind " + out.Kind().String())
	}
}

// addTypeFault adds the fault of a value of the wrong type.
func (d *Decoder) addTypeFault(path string, v hujson.Value, want string) {
	d.failedPaths[path] = true
	d.addFaultAt(v.StartOffset, path, fmt.Sprintf("must be %s, not %s", want, kindName(v.Value.Kind())))
}

func kindName(k hujson.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}

func (d *Decoder) decodeObject(path string, v hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addTypeFault(path, v, "an object")
		return
	}
	fields := d.fieldsOf(out.Type())
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.addFaultAt(m.Name.StartOffset, memberPath, "unknown field")
		case seen[name]:
			d.addFaultAt(m.Name.StartOffset, memberPath, "the field stands here for the second time")
		default:
			seen[name] = true
			d.decodeValue(memberPath, m.Value, out.Field(index))
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the field indexes of a struct type by JSON name.
func (d *Decoder) fieldsOf(t reflect.Type) map[string]int {
	if fields, ok := d.structFields[t]; ok {
		return fields
	}
	fields := make(map[string]int)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	d.structFields[t] = fields
	return fields
}

func (d *Decoder) decodeArray(path string, v hujson.Value, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addTypeFault(path, v, "an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", e, out.Index(i))
	}
}

func (d *Decoder) decodeString(path string, v hujson.Value, out reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.addTypeFault(path, v, "a string")
		return
	}
	out.SetString(l.String())
}

func (d *Decoder) decodeBool(path string, v hujson.Value, out reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		d.addTypeFault(path, v, "true or false")
		return
	}
	out.SetBool(l.Bool())
}

func (d *Decoder) decodeInt(path string, v hujson.Value, out reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		d.addTypeFault(path, v, "a whole number")
		return
	}
	n, err := strconv.ParseInt(string(l), 10, out.Type().Bits())
	if err != nil {
		d.failedPaths[path] = true
		d.addFaultAt(v.StartOffset, path, "must be a whole number without fraction or exponent, within 64 bits")
		return
	}
	out.SetInt(n)
}

func (d *Decoder) decodeFloat(path string, v hujson.Value, out reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		d.addTypeFault(path, v, "a number")
		return
	}
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil {
		d.failedPaths[path] = true
		d.addFaultAt(v.StartOffset, path, "must be a finite number")
		return
	}
	out.SetFloat(f)
}
