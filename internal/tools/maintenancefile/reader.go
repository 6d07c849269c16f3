package maintenancefile

import (
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// FieldError names a path of the file and what is wrong with its value.
type FieldError struct {
	Path    string
	Problem string
}

func (e *FieldError) Error() string { return "windows: " + e.Path + ": " + e.Problem }

// errorRecorder keeps the first error.
type errorRecorder struct{ err error }

func (r *errorRecorder) fail(path, problem string) {
	if r.err == nil {
		r.err = &FieldError{Path: path, Problem: problem}
	}
}

// mapping is a mapping of the file, and where it stands.
type mapping struct {
	value  gjson.Result
	prefix string // of the paths of its keys
	errors *errorRecorder
}

func (m mapping) fail(key, problem string) { m.errors.fail(m.prefix+key, problem) }

// checkKeys fails on the first key that is not known: a typing error must not pass unnoticed.
func (m mapping) checkKeys(problem string, known ...string) {
	m.value.ForEach(func(key, _ gjson.Result) bool {
		if slices.Contains(known, key.Str) {
			return true
		}
		m.fail(key.Str, problem)
		return false
	})
}

// submapping returns the mapping at a key; what is missing is empty.
func (m mapping) submapping(key string) mapping {
	return mapping{value: m.value.Get(key), prefix: m.prefix + key + ".", errors: m.errors}
}

// list returns the mappings of the list at a key; what is missing is empty.
func (m mapping) list(key string) []mapping {
	list := m.value.Get(key)
	if list.Exists() && !list.IsArray() {
		m.fail(key, "is not a list")
		return nil
	}
	var mappings []mapping
	for i, value := range list.Array() {
		mappings = append(mappings, mapping{value: value, prefix: m.prefix + key + "." + strconv.Itoa(i) + ".", errors: m.errors})
	}
	return mappings
}

// text reads a string that may be neither missing nor empty.
func (m mapping) text(key string) string {
	value := m.value.Get(key)
	if value.Type != gjson.String || value.Str == "" {
		m.fail(key, "is missing, empty or not a text")
	}
	return value.Str
}

// texts reads a list of strings; what is missing is empty.
func (m mapping) texts(key string) []string {
	list := m.value.Get(key)
	if list.Exists() && !list.IsArray() {
		m.fail(key, "is not a list")
	}
	var texts []string
	for _, value := range list.Array() {
		texts = append(texts, value.String())
	}
	return texts
}

// number reads a number of 0 or more.
func (m mapping) number(key string, defaultValue float64) float64 {
	value := m.value.Get(key)
	if !value.Exists() {
		return defaultValue
	}
	if value.Type != gjson.Number || value.Num < 0 {
		m.fail(key, "is not a number of 0 or more")
	}
	return value.Num
}

// moment reads a time of RFC 3339.
func (m mapping) moment(key string, defaultValue time.Time) time.Time {
	value := m.value.Get(key)
	if !value.Exists() {
		return defaultValue
	}
	moment, err := time.Parse(time.RFC3339, value.String())
	if err != nil {
		m.fail(key, `is not a moment such as "2026-12-07T01:00:00Z"`)
	}
	return moment
}

// duration reads a duration above zero. Without a default (0) it may not be missing.
func (m mapping) duration(key string, defaultValue time.Duration) time.Duration {
	value := m.value.Get(key)
	if !value.Exists() && defaultValue > 0 {
		return defaultValue
	}
	duration, err := time.ParseDuration(value.String())
	if err != nil || duration <= 0 {
		m.fail(key, `is not a time such as "30m"`)
		return defaultSlotLength
	}
	return duration
}
