package nodesettings

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// FieldError names a path of the settings file and what is wrong with its value.
type FieldError struct {
	Path    string
	Problem string
}

func (e *FieldError) Error() string { return "settings: " + e.Path + ": " + e.Problem }

// fieldReader reads typed values by their paths and keeps the first error.
type fieldReader struct {
	document gjson.Result
	err      error
}

func (r *fieldReader) fail(path, problem string) {
	if r.err == nil {
		r.err = &FieldError{Path: path, Problem: problem}
	}
}

// optional returns the value at path; present is false where it is missing or null.
func (r *fieldReader) optional(path string) (value gjson.Result, present bool) {
	value = r.document.Get(path)
	return value, value.Exists() && value.Type != gjson.Null
}

// text reads a string; what is missing or null is empty.
func (r *fieldReader) text(path string) string {
	value, present := r.optional(path)
	if present && value.Type != gjson.String {
		r.fail(path, "is not a text")
		return ""
	}
	return value.Str
}

// requiredText reads a string that may be neither missing nor empty.
func (r *fieldReader) requiredText(path string) string {
	text := r.text(path)
	if text == "" {
		r.fail(path, "is missing or empty")
	}
	return text
}

// number reads a number that is at least minimum.
func (r *fieldReader) number(path string, minimum, defaultValue float64) float64 {
	value, present := r.optional(path)
	switch {
	case !present:
		return defaultValue
	case value.Type != gjson.Number:
		r.fail(path, "is not a number")
	case value.Num < minimum:
		r.fail(path, "is too small")
	}
	return value.Num
}

// count reads an integer of 0 or more.
func (r *fieldReader) count(path string, defaultValue int) int {
	value := r.number(path, 0, float64(defaultValue))
	if value != math.Trunc(value) {
		r.fail(path, "is not an integer")
	}
	return int(value)
}

// boolean reads true or false; what is missing is false.
func (r *fieldReader) boolean(path string) bool {
	value, present := r.optional(path)
	if present && !value.IsBool() {
		r.fail(path, "is neither true nor false")
	}
	return value.Type == gjson.True
}

// textList reads a list of strings, none of them empty.
func (r *fieldReader) textList(path string) []string {
	value, present := r.optional(path)
	if present && !value.IsArray() {
		r.fail(path, "is not a list")
		return nil
	}
	var texts []string
	for i, element := range value.Array() {
		if element.Type != gjson.String || element.Str == "" {
			r.fail(path+"."+strconv.Itoa(i), "is empty or not a text")
		}
		texts = append(texts, element.Str)
	}
	return texts
}

// positiveDuration reads a duration above zero.
func (r *fieldReader) positiveDuration(path string, defaultValue time.Duration) time.Duration {
	return r.duration(path, time.Nanosecond, defaultValue)
}

// duration reads a duration that is at least minimum.
func (r *fieldReader) duration(path string, minimum, defaultValue time.Duration) time.Duration {
	text := r.text(path)
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < minimum {
		r.fail(path, `is not a time such as "1500ms"`)
	}
	return duration
}

// address reads an IP address with a port; what is missing is empty.
func (r *fieldReader) address(path string) string {
	text := r.text(path)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.fail(path, "is not an address with a port")
	}
	return text
}
