package nodesettings

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// FieldError means that a value of the settings file is invalid.
type FieldError struct {
	Path    string // of the value, such as "self_settings.zone"
	Problem string
}

func (e *FieldError) Error() string { return "settings: " + e.Path + ": " + e.Problem }

// fieldReader reads typed values by path and records the first error.
type fieldReader struct {
	document gjson.Result
	err      error
}

func (r *fieldReader) fail(path, problem string) {
	if r.err == nil {
		r.err = &FieldError{Path: path, Problem: problem}
	}
}

// optional returns the value at path. present is false if the value is missing or null.
func (r *fieldReader) optional(path string) (value gjson.Result, present bool) {
	value = r.document.Get(path)
	return value, value.Exists() && value.Type != gjson.Null
}

// optionalString reads a string, which is empty if it is missing or null.
func (r *fieldReader) optionalString(path string) string {
	value, present := r.optional(path)
	if present && value.Type != gjson.String {
		r.fail(path, "must be a string")
		return ""
	}
	return value.Str
}

// requiredString reads a string that must not be missing or empty.
func (r *fieldReader) requiredString(path string) string {
	text := r.optionalString(path)
	if text == "" {
		r.fail(path, "must be a non-empty string")
	}
	return text
}

// number reads a number that is at least minimum.
func (r *fieldReader) number(path string, minimum, defaultValue float64) float64 {
	value, present := r.optional(path)
	if !present {
		return defaultValue
	}
	if value.Type != gjson.Number || value.Num < minimum {
		r.fail(path, "must be a number of at least "+strconv.FormatFloat(minimum, 'g', -1, 64))
	}
	return value.Num
}

// nonNegativeInt reads an integer that is not negative.
func (r *fieldReader) nonNegativeInt(path string, defaultValue int) int {
	value := r.number(path, 0, float64(defaultValue))
	if value != math.Trunc(value) {
		r.fail(path, "must be an integer")
	}
	return int(value)
}

// boolean reads a boolean, which is false if it is missing or null.
func (r *fieldReader) boolean(path string) bool {
	value, present := r.optional(path)
	if present && !value.IsBool() {
		r.fail(path, "must be true or false")
	}
	return value.Type == gjson.True
}

// stringList reads an array of non-empty strings.
func (r *fieldReader) stringList(path string) []string {
	value, present := r.optional(path)
	if present && !value.IsArray() {
		r.fail(path, "must be an array")
		return nil
	}
	var list []string
	for i, element := range value.Array() {
		if element.Type != gjson.String || element.Str == "" {
			r.fail(path+"."+strconv.Itoa(i), "must be a non-empty string")
		}
		list = append(list, element.Str)
	}
	return list
}

// positiveDuration reads a duration that is greater than zero.
func (r *fieldReader) positiveDuration(path string, defaultValue time.Duration) time.Duration {
	duration := r.nonNegativeDuration(path, defaultValue)
	if duration == 0 {
		r.fail(path, "must be greater than zero")
	}
	return duration
}

// nonNegativeDuration reads a duration that is not negative.
func (r *fieldReader) nonNegativeDuration(path string, defaultValue time.Duration) time.Duration {
	text := r.optionalString(path)
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		r.fail(path, `must be a duration such as "1500ms"`)
	case duration < 0:
		r.fail(path, "must not be negative")
	}
	return duration
}

// addressWithPort reads an IP address with a port, which is empty if it is missing or null.
func (r *fieldReader) addressWithPort(path string) string {
	text := r.optionalString(path)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.fail(path, "must be an IP address with a port")
	}
	return text
}
