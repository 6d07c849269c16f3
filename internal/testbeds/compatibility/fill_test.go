package compatibility

import (
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
)

// filler recursively sets every exported field of a value to a nonzero value. The values depend only on the order and the types of the
// fields, so that a renamed field keeps its value.
type filler struct {
	count   int
	omit    fieldSet // left at zero
	omitted bool     // a field of omit was found
}

// fieldSet is a set of fields, named "package.Type.Field".
type fieldSet map[string]bool

func (s fieldSet) has(of reflect.Type, field reflect.StructField) bool {
	return s[of.String()+"."+field.Name]
}

// union returns the set of the fields of all sets.
func union(sets []fieldSet) fieldSet {
	all := fieldSet{}
	for _, set := range sets {
		maps.Copy(all, set)
	}
	return all
}

// filled returns a value of a type with all fields set except those of omit, and whether the type has any of these.
func filled(of reflect.Type, omit fieldSet) (value reflect.Value, omitted bool) {
	v := reflect.New(of).Elem()
	f := filler{omit: omit}
	f.fill(v)
	return v, f.omitted
}

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map: // a single entry, because the encoding order of several is not deterministic
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			switch {
			case !encoded(field):
			case f.omit.has(v.Type(), field):
				f.omitted = true
			default:
				f.fill(v.Field(i))
			}
		}
	default:
		panic(fmt.Sprintf("no sample value for type %v", v.Type()))
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// encoded reports whether the encoders write a field.
func encoded(field reflect.StructField) bool {
	return field.IsExported() && field.Tag.Get("json") != "-" && field.Tag.Get("cbor") != "-"
}

// zeroFields returns the paths of the encoded fields that are zero, except those of omit.
func zeroFields(path string, v reflect.Value, omit fieldSet) (zero []string) {
	if v.IsZero() {
		return []string{path}
	}
	switch v.Kind() {
	case reflect.Pointer:
		return zeroFields(path, v.Elem(), omit)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i), omit)...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key), omit)...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); encoded(field) && !omit.has(v.Type(), field) {
				zero = append(zero, zeroFields(path+"."+field.Name, v.Field(i), omit)...)
			}
		}
	}
	return zero
}

func TestZeroFieldsFindsUnsetFields(t *testing.T) {
	type inner struct{ A, B int }
	type outer struct {
		Inner  inner
		List   []inner
		Skip   int `json:"-"`
		hidden int
	}
	v := outer{Inner: inner{A: 1}, List: []inner{{1, 0}}}
	_ = v.hidden
	got := strings.Join(zeroFields("outer", reflect.ValueOf(v), nil), " ")
	if want := "outer.Inner.B outer.List[0].B"; got != want {
		t.Errorf("zero fields: %q, want %q", got, want)
	}
	full, omitted := filled(reflect.TypeFor[outer](), nil)
	if got := zeroFields("outer", full, nil); len(got) > 0 || omitted {
		t.Errorf("a filled value has zero fields: %v", got)
	}
}

// TestOmittedFieldsKeepOtherValues verifies that an omitted field does not change the values of the other fields.
func TestOmittedFieldsKeepOtherValues(t *testing.T) {
	type before struct{ A, B int }
	type after struct{ A, Added, B int }
	omit := fieldSet{reflect.TypeFor[after]().String() + ".Added": true}
	old, _ := filled(reflect.TypeFor[before](), omit)
	value, omitted := filled(reflect.TypeFor[after](), omit)
	want := after{A: old.Interface().(before).A, B: old.Interface().(before).B}
	if got := value.Interface().(after); got != want || !omitted {
		t.Errorf("filled: %+v, want %+v (omitted %v)", got, want, omitted)
	}
	if zero := zeroFields("after", value, omit); len(zero) > 0 {
		t.Errorf("zero fields: %v", zero)
	}
	if zero := zeroFields("after", value, nil); len(zero) != 1 {
		t.Errorf("zero fields without omit: %v, want one", zero)
	}
}
