package compatibility

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// filler sets every exported field of a value, nested ones too, to a value that differs from zero. What it sets depends
// on the order and the types of the fields only, so that a renamed field keeps its value.
type filler struct{ count int }

// filled returns a filled value of a type.
func filled(of reflect.Type) reflect.Value {
	v := reflect.New(of).Elem()
	new(filler).fill(v)
	return v
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
	case reflect.Map: // of one entry, as the order of several is not fixed in CBOR
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if encoded(v.Type().Field(i)) {
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

// encoded tells whether the encoders write a field.
func encoded(field reflect.StructField) bool {
	return field.IsExported() && field.Tag.Get("json") != "-" && field.Tag.Get("cbor") != "-"
}

// zeroFields lists the paths of the encoded fields that hold their zero value.
func zeroFields(path string, v reflect.Value) (zero []string) {
	if v.IsZero() {
		return []string{path}
	}
	switch v.Kind() {
	case reflect.Pointer:
		return zeroFields(path, v.Elem())
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i))...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); encoded(field) {
				zero = append(zero, zeroFields(path+"."+field.Name, v.Field(i))...)
			}
		}
	}
	return zero
}

func TestZeroFieldsFindsWhatIsNotFilled(t *testing.T) {
	type inner struct{ A, B int }
	type outer struct {
		Inner  inner
		List   []inner
		Skip   int `json:"-"`
		hidden int
	}
	v := outer{Inner: inner{A: 1}, List: []inner{{1, 0}}}
	_ = v.hidden
	got := strings.Join(zeroFields("outer", reflect.ValueOf(v)), " ")
	if want := "outer.Inner.B outer.List[0].B"; got != want {
		t.Errorf("zero fields: %q, want %q", got, want)
	}
	if got := zeroFields("outer", filled(reflect.TypeFor[outer]())); len(got) > 0 {
		t.Errorf("a filled value has zero fields: %v", got)
	}
}
