package gatewayconfig

import (
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// parser builds a configuration and records the first error. Its methods continue after an error.
type parser struct {
	config *Config
	err    error
}

func (p *parser) fail(path, reason string) {
	if p.err == nil {
		p.err = &FieldError{Path: path, Reason: reason}
	}
}

// isAbsent reports whether a field is missing or null.
func isAbsent(value gjson.Result) bool { return !value.Exists() || value.Type == gjson.Null }

func (p *parser) arrayField(value gjson.Result, prefix, key string) []gjson.Result {
	field := value.Get(key)
	if !field.IsArray() {
		p.fail(prefix+key, "must be an array")
		return nil
	}
	return field.Array()
}

func (p *parser) stringField(value gjson.Result, prefix, key string, required bool) string {
	field := value.Get(key)
	switch {
	case field.Type == gjson.String && (field.Str != "" || !required):
		return field.Str
	case required:
		p.fail(prefix+key, "must be a non-empty string")
	case !isAbsent(field):
		p.fail(prefix+key, "must be a string")
	}
	return ""
}

func (p *parser) durationField(value gjson.Result, prefix, key string, defaultValue time.Duration) time.Duration {
	text := p.stringField(value, prefix, key, false)
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		p.fail(prefix+key, `must be a duration such as "1500ms"`)
	}
	return duration
}

func (p *parser) numberField(value gjson.Result, prefix, key string, minimum, defaultValue float64) float64 {
	field := value.Get(key)
	if isAbsent(field) {
		return defaultValue
	}
	if field.Type != gjson.Number || field.Num < minimum {
		p.fail(prefix+key, "must be a number of at least "+strconv.FormatFloat(minimum, 'g', -1, 64))
	}
	return field.Num
}

// boolField parses an optional boolean, false by default.
func (p *parser) boolField(value gjson.Result, prefix, key string) bool {
	field := value.Get(key)
	if !isAbsent(field) && !field.IsBool() {
		p.fail(prefix+key, "must be true or false")
	}
	return field.Type == gjson.True
}

// serviceField parses the name of a service, which must be defined in the configuration.
func (p *parser) serviceField(value gjson.Result, prefix, key string) string {
	name := p.stringField(value, prefix, key, true)
	p.checkService(prefix+key, name)
	return name
}

// checkService records an error if a service is not defined. Empty names are ignored, as stringField has recorded an error.
func (p *parser) checkService(path, name string) {
	if _, ok := p.config.Services[name]; !ok && name != "" {
		p.fail(path, "refers to an unknown service")
	}
}
