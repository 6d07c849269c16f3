package maintenancefile

import (
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// FieldError describes an invalid value of the file.
type FieldError struct {
	Path    string // of the key, with array indexes, such as windows.0.takes
	Problem string
}

func (e *FieldError) Error() string { return "windows: " + e.Path + ": " + e.Problem }

// errorRecorder records the first error.
type errorRecorder struct{ err error }

func (r *errorRecorder) fail(path, problem string) {
	if r.err == nil {
		r.err = &FieldError{Path: path, Problem: problem}
	}
}

// mapping is a YAML mapping of the file.
type mapping struct {
	value  gjson.Result
	prefix string // prefix of its keys' paths
	errors *errorRecorder
}

func (m mapping) fail(key, problem string) { m.errors.fail(m.prefix+key, problem) }

// checkKeys rejects the first unknown key, so that misspelled keys are not silently ignored.
func (m mapping) checkKeys(problem string, known ...string) {
	m.value.ForEach(func(key, _ gjson.Result) bool {
		if slices.Contains(known, key.Str) {
			return true
		}
		m.fail(key.Str, problem)
		return false
	})
}

// submapping returns the mapping at a key, empty if the key is missing.
func (m mapping) submapping(key string) mapping {
	return mapping{value: m.value.Get(key), prefix: m.prefix + key + ".", errors: m.errors}
}

// mappings returns the mappings in the array at a key, none if the key is missing.
func (m mapping) mappings(key string) []mapping {
	array := m.value.Get(key)
	if array.Exists() && !array.IsArray() {
		m.fail(key, "must be an array")
		return nil
	}
	var mappings []mapping
	for i, value := range array.Array() {
		mappings = append(mappings, mapping{value: value, prefix: m.prefix + key + "." + strconv.Itoa(i) + ".", errors: m.errors})
	}
	return mappings
}

// requiredString reads a string that must be set and not empty.
func (m mapping) requiredString(key string) string {
	value := m.value.Get(key)
	if value.Type != gjson.String || value.Str == "" {
		m.fail(key, "must be a non-empty string")
	}
	return value.Str
}

// stringArray reads an array of strings, empty if the key is missing.
func (m mapping) stringArray(key string) []string {
	array := m.value.Get(key)
	if array.Exists() && !array.IsArray() {
		m.fail(key, "must be an array")
	}
	var values []string
	for _, value := range array.Array() {
		values = append(values, value.String())
	}
	return values
}

// nonNegative reads a number that must not be negative.
func (m mapping) nonNegative(key string, defaultValue float64) float64 {
	value := m.value.Get(key)
	if !value.Exists() {
		return defaultValue
	}
	if value.Type != gjson.Number || value.Num < 0 {
		m.fail(key, "must be a number of at least 0")
	}
	return value.Num
}

// timestamp reads a time in RFC 3339 format.
func (m mapping) timestamp(key string, defaultValue time.Time) time.Time {
	value := m.value.Get(key)
	if !value.Exists() {
		return defaultValue
	}
	parsed, err := time.Parse(time.RFC3339, value.String())
	if err != nil {
		m.fail(key, `must be a time such as "2026-12-07T01:00:00Z"`)
	}
	return parsed
}

// duration reads a duration greater than zero. It is required if the default is 0.
func (m mapping) duration(key string, defaultValue time.Duration) time.Duration {
	value := m.value.Get(key)
	if !value.Exists() && defaultValue > 0 {
		return defaultValue
	}
	duration, err := time.ParseDuration(value.String())
	if err != nil || duration <= 0 {
		m.fail(key, `must be a positive duration such as "30m"`)
		return defaultSlotLength
	}
	return duration
}
