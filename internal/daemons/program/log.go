package program

import (
	"io"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes one line of key=value pairs per event to w, including the program's name.
func NewLogger(w io.Writer, name string) *log.Logger {
	format := func(w io.Writer, entry *log.FormatterArgs) (int, error) { return w.Write(formatLine(name, entry)) }
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: format},
	}
}

func formatLine(name string, entry *log.FormatterArgs) []byte {
	line := append([]byte("time="), entry.Time...)
	line = append(append(line, " level="...), entry.Level...)
	line = append(append(line, " program="...), name...)
	for _, field := range entry.KeyValues {
		line = append(append(append(line, ' '), field.Key...), '=')
		line = appendValue(line, field.Value)
	}
	if entry.Message != "" {
		line = strconv.AppendQuote(append(line, " message="...), entry.Message)
	}
	return append(line, '\n')
}

// appendValue appends a value, quoted if it is empty or contains a delimiter.
func appendValue(line []byte, value string) []byte {
	if value == "" || strings.ContainsAny(value, " \"=\n") {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}

// eventMessages are the messages of the events that the control-plane controller reports.
var eventMessages = map[string]string{
	"clock_stopped":                "clock or process was suspended",
	"config_committed":             "configuration committed",
	"config_unreadable":            "committed configuration could not be parsed; the previous one stays in effect",
	"disk_health":                  "health of the state disk changed",
	"draining":                     "instance is draining",
	"evacuations_changed":          "set of evacuated zones changed",
	"gateway_left":                 "gateway disconnected",
	"heartbeat_timed_out":          "instance expired without a heartbeat",
	"instance_deregistered":        "instance deregistered",
	"service_without_instances":    "the last registered instance of a service was deregistered",
	"instance_ejected":             "instance ejected as an outlier",
	"maintenance_state_unreadable": "maintenance state could not be decoded",
	"maintenance_state_unwritable": "maintenance state could not be encoded",
	"maintenance_window_changed":   "maintenance window changed",
	"quorum_contact":               "contact with a quorum changed",
	"shutdown_started":             "member is shutting down",
	"stalled":                      "member resumed after a stall",
	"view_installed":               "new view installed",
}

// LogEvent logs an event and its fields with level warn or info.
func LogEvent(logger *log.Logger, warn bool, event string, fields iter.Seq2[string, any]) {
	entry := logger.Info()
	if warn {
		entry = logger.Warn()
	}
	entry = entry.Str("event", event)
	for key, value := range fields {
		switch value := value.(type) {
		case string:
			entry = entry.Str(key, value)
		case []string:
			entry = entry.Strs(key, value)
		case time.Duration:
			entry = entry.Dur(key, value)
		default:
			entry = entry.Any(key, value)
		}
	}
	entry.Msg(eventMessages[event])
}
