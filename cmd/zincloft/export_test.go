package main

import (
	"bytes"
	"os"
	"testing"
)

// TestStateExport compares the export of a stored state with the output of an earlier version, so that the format stays
// compatible. See package compatibility.
func TestStateExport(t *testing.T) {
	dir := t.TempDir() // the database is opened on a copy
	if err := os.CopyFS(dir, os.DirFS("../../internal/testbeds/compatibility/testdata/governorstore")); err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := exportState(&got, dir); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/state-export.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("exported\n%s\nwant\n%s", got.Bytes(), want)
	}
}
