package gatewayconfig

import (
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// parser collects a configuration and the first error in it. Its methods go on after an error, with a zero value for the field.
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

func (p *parser) listField(value gjson.Result, at, key string) []gjson.Result {
	field := value.Get(key)
	if !field.IsArray() {
		p.fail(at+key, "is not a list")
		return nil
	}
	return field.Array()
}

func (p *parser) stringField(value gjson.Result, at, key string, required bool) string {
	field := value.Get(key)
	if field.Type == gjson.String && (field.Str != "" || !required) {
		return field.Str
	}
	if required || !isAbsent(field) {
		p.fail(at+key, "is missing, empty or not a text")
	}
	return ""
}

func (p *parser) durationField(value gjson.Result, at, key string, absent time.Duration) time.Duration {
	text := p.stringField(value, at, key, false)
	if text == "" {
		return absent
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		p.fail(at+key, `is not a time such as "1500ms"`)
	}
	return duration
}

func (p *parser) numberField(value gjson.Result, at, key string, least, absent float64) float64 {
	field := value.Get(key)
	if isAbsent(field) {
		return absent
	}
	if field.Type != gjson.Number || field.Num < least {
		p.fail(at+key, "is not a number of "+strconv.FormatFloat(least, 'g', -1, 64)+" or more")
	}
	return field.Num
}

// serviceField reads the name of a service that the configuration must have.
func (p *parser) serviceField(value gjson.Result, at, key string) string {
	name := p.stringField(value, at, key, true)
	p.checkService(at+key, name)
	return name
}

// checkService fails for a service that the configuration doesn't have. An empty name has failed already.
func (p *parser) checkService(path, name string) {
	if _, ok := p.config.Services[name]; !ok && name != "" {
		p.fail(path, "names an unknown service")
	}
}
