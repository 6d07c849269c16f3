package main

import (
	"encoding/json"
	"strings"
	"testing"

	"zincloft.example/zincloft/controlplane/ownership"
)

func TestOwnersArePrintedByServiceAndKey(t *testing.T) {
	owners := ownership.Table{Services: map[string][]ownership.Range{
		"tracking":  {{To: ownership.MaxKey}},
		"catalogue": {{To: 99, Owner: "replica-1", Token: 7, Phase: ownership.PhaseGranted}, {From: 100, To: ownership.MaxKey, Owner: "replica-2", Token: 8, Phase: ownership.PhaseReleasing}},
	}}
	response, err := json.Marshal(owners.Status())
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := printOwners(&out, response); err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(out.String()) {
		got = append(got, strings.Join(strings.Fields(strings.ReplaceAll(line, "|", " ")), " "))
	}
	want := []string{"catalogue 0 99 replica-1 granted 7", "catalogue 100 65535 replica-2 releasing 8", "tracking 0 65535 unowned 0"}
	if !strings.Contains(strings.Join(got, "\n"), strings.Join(want, "\n")) {
		t.Errorf("printed:\n%s", out.String())
	}
}
