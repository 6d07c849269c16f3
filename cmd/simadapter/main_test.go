package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"zincloft.example/zincloft/internal/tools/simadapter"
	"zincloft.example/zincloft/rules"
)

func TestEndOfInput(t *testing.T) {
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Error(err)
	}
}

func TestNoPartialReply(t *testing.T) {
	var out bytes.Buffer
	empty := "\x10\x00\x00\x00\x90\xbf\x68\xf5\x01\x00\x00\x00\x00\x00\x00\x00"
	if err := run(strings.NewReader(empty+empty[:9]), &out); err == nil {
		t.Error("a truncated frame was accepted")
	}
	if got, want := out.String(), "\x08\x00\x00\x00\x00\x00\x00\x00"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestPanicIsError(t *testing.T) {
	instance := &simadapter.InstanceEvents{Events: []rules.Event{rules.Start{Settings: rules.Settings{Zones: 1}}, rules.Joined{Proxy: 1}}}
	var governor *rules.Governor
	_, err := step(governor, 0, instance)
	var failure panicError
	if !errors.As(err, &failure) || !strings.HasPrefix(err.Error(), "panic: ") {
		t.Errorf("got %v", err)
	}
}
