package clients

import (
	"cmp"
	"math"
	"strconv"
	"time"
)

// fields reads the fields of a message and remembers the first invalid one.
type fields struct {
	pairs           [][]byte // alternating names and values
	maxReportedTime time.Duration
	invalid         string // name of the first invalid field; "": none
}

// fail marks a field as invalid.
func (f *fields) fail(name string) { f.invalid = cmp.Or(f.invalid, name) }

// value returns the value of a field. If the field is repeated, the last value counts.
func (f *fields) value(name string) (v []byte, given bool) {
	for i := 0; i+1 < len(f.pairs); i += 2 {
		if string(f.pairs[i]) == name {
			v, given = f.pairs[i+1], true
		}
	}
	return v, given
}

// require marks missing fields as invalid.
func (f *fields) require(names ...string) {
	for _, name := range names {
		if _, ok := f.value(name); !ok {
			f.fail(name)
		}
	}
}

// integer returns an integer field in the range 0 to maxValue, or 0 if it is missing.
func (f *fields) integer(name string, maxValue int) int {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	n, ok := parseInteger(text, maxValue)
	if !ok {
		f.fail(name)
	}
	return n
}

func parseInteger(text []byte, maxValue int) (int, bool) {
	n, err := strconv.Atoi(string(text))
	return n, err == nil && n >= 0 && n <= maxValue
}

// float returns a non-negative number field, or 0 if it is missing.
func (f *fields) float(name string) float64 {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	v, ok := parseFloat(text)
	if !ok {
		f.fail(name)
	}
	return v
}

func parseFloat(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && v >= 0 && v <= math.MaxInt32
}

// duration returns a field in milliseconds. A duration above maxReportedTime is invalid, because it would distort the
// governor's statistics for hours.
func (f *fields) duration(name string) time.Duration {
	d, ok := f.milliseconds(f.float(name))
	if !ok {
		f.fail(name)
	}
	return d
}

// milliseconds converts a number of milliseconds and reports whether it is within maxReportedTime.
func (f *fields) milliseconds(ms float64) (time.Duration, bool) {
	v := ms * float64(time.Millisecond)
	if v > float64(f.maxReportedTime) {
		return 0, false
	}
	return time.Duration(math.Round(v)), true
}

// positiveDuration returns a duration field that must be above 0.
func (f *fields) positiveDuration(name string) time.Duration {
	d := f.duration(name)
	if d <= 0 {
		f.fail(name)
	}
	return d
}

// index returns the index of a field's value in known, or -1 if it is not there.
func (f *fields) index(name string, known []string) int {
	text, _ := f.value(name)
	for i, candidate := range known {
		if string(text) == candidate {
			return i
		}
	}
	f.fail(name)
	return -1
}
