package main

import (
	"bytes"
	"os"
	"testing"
)

// TestStoreExport checks that the export of an existing state store does not change between releases. See package
// compatibility.
func TestStoreExport(t *testing.T) {
	var got bytes.Buffer
	if err := run([]string{"store", "export", "../../internal/testbeds/compatibility/testdata/statestore"}, &got); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/store-export.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("exported\n%s\nwant\n%s", got.Bytes(), want)
	}
}
