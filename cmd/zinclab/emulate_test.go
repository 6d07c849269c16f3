package main

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// TestParseFault checks that faults of the command line are parsed and that errors name the invalid key.
func TestParseFault(t *testing.T) {
	zone := 2
	for text, want := range map[string]emulate.Fault{
		"burst":                             {Kind: "burst"},
		"deploy:at=10s,for=7s,share=0.6":    {Kind: "deploy", At: 10 * time.Second, Duration: 7 * time.Second, Share: 0.6},
		"zone_loss:zone=2,back=4s,name=a":   {Kind: "zone_loss", Zone: &zone, RecoverAfter: 4 * time.Second, Name: "a"},
		"errors:when=load > 0.5,factor=0.5": {Kind: "errors", Trigger: "load > 0.5", Factor: 0.5},
	} {
		if got, err := parseFault(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v; want %+v", text, got, err, want)
		}
	}
	for text, want := range map[string]string{
		"crash:at=1": "at: ", "crash:for=x": "for: ", "crash:back=x": "back: ", "crash:share=x": "share: ", "crash:factor=x": "factor: ",
		"crash:zone=x": "zone: ", "crash:x=1": `x: unknown key "x"`,
	} {
		if _, err := parseFault(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
