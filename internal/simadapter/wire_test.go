package simadapter

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/rules"
)

// frame builds a batch from its records and tail, written as hex with spaces; records are filled up with zeros.
func frame(t *testing.T, tail string, records ...string) []byte {
	t.Helper()
	var body []byte
	for _, r := range records {
		b := unhex(t, r)
		body = append(body, append(b, make([]byte, eventSize-len(b))...)...)
	}
	body = append(body, unhex(t, tail)...)
	head := make([]byte, batchHeaderSize)
	put32(head, 0, uint32(batchHeaderSize+len(body)))
	put64(head, 4, 5)
	put32(head, 12, uint32(len(records)))
	return append(head, body...)
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecode(t *testing.T) {
	in := append(frame(t, ""), frame(t, "074a1203 00 01 0200 01 0000803f 0000000000000000",
		"01 0300", "04 4d00000000000000", "0d 00 2900000000000000 00000000 01000000",
		"01 0500", "0c 2900", "06 2900 00 0000d040 01",
		"01 0300", "07 01000000 903ce00200000000 00ca9a3b00000000 00 0e000000 074a1203 03 52b81e3f 0000e040 00006841")...)
	d := NewDecoder(bytes.NewReader(in))
	d.fields[3] = []string{"cpu_share", "busy_reqs", "svc_ms"}
	var got []*Batch
	for {
		b, err := d.Next()
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		got = append(got, b)
	}
	want := []*Batch{{Now: 5}, {Now: 5, Instances: []*InstanceEvents{
		{Instance: 3, Events: []rules.Event{
			rules.Wake{Mark: 77},
			rules.List{Scope: rules.Changes, Entries: []rules.Entry{
				{Replica: 0x03124a07, Kind: 1, Cell: 2, State: rules.Ready, Listed: 1}}},
			rules.Sums{Replica: 0x03124a07, Tries: 14, Dropped: 1, Took: 48250 * time.Microsecond,
				Over: time.Second, Report: rules.Report{Util: float64(float32(0.62)), InFlight: 7,
					ServiceTime: 14.5, Rate: rules.Absent}}}},
		{Instance: 5, Events: []rules.Event{rules.Left{Proxy: 41}, rules.Joined{Proxy: 41, Rate: 6.5, Fresh: true}}},
	}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestMalformed(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated frame":         frame(t, "", "01 0300")[:40],
		"inside a header":         frame(t, "")[:7],
		"unknown event code 99":   frame(t, "", "01 0300", "63"),
		"before any instance":     frame(t, "", "0c 2900"),
		"points past the tail":    frame(t, "", "01 0300", "05 01000000 00000000 09000000"),
		"not the expected JSON":   frame(t, "7b6f6f70", "01 0300", "08 0100000000000000 00000000 04000000"),
		"unknown list scope":      frame(t, "", "01 0300", "0d 09"),
		"bytes for 9 records":     {16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0},
		"unknown replica state 7": frame(t, "074a1203 00 01 0200 07 0000803f 0000000000000000", "01 0300", "0d 00 2900000000000000 00000000 01000000"),
	} {
		if _, err := NewDecoder(bytes.NewReader(in)).Next(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("want an error with %q, got %v", name, err)
		}
	}
}

func TestOrders(t *testing.T) {
	var r Reply
	r.SelectInstance(3)
	for _, o := range []rules.Order{
		rules.Line{Table: 117, Replica: 0x2c9011f2, Weight: 0.75},
		rules.WakeAfter{After: 500 * time.Millisecond, Mark: 77},
		rules.Admit{Table: 117, Groups: 2, Level: 0.75, Retry: rules.RetryUnrun},
		rules.Bind{Proxy: 41, Table: 117}, rules.Withdraw{Replica: 9, Out: true}, rules.Observe{On: true},
		rules.ClearTable{Table: 117}, rules.FetchList{}, rules.Probe{Replica: 9}, rules.Mark{Version: 2, ToAll: true},
		rules.Tell{To: 65535, Data: []byte("hi 7")},
	} {
		if err := r.AddOrder(o); err != nil {
			t.Fatal(err)
		}
	}
	r.SelectInstance(5)
	if err := r.AddOrder(rules.Log{Text: "two"}); err != nil {
		t.Fatal(err)
	}
	r.AddBug("no")
	var want []byte
	for _, rec := range []string{"0d 0300", "07 7500 0000403f f211902c", "00 0065cd1d00000000 4d00000000000000",
		"0b 0000403f 7500 01 0200", "0a 0000 7500 2900", "09 09000000 01", "05 01", "08 7500", "06", "01 09000000",
		"0c 0200000000000000 01", "02 ffff 00000000 04000000", "0d 0500", "03 04000000 03000000",
		"04 07000000 02000000"} {
		b := unhex(t, rec)
		want = append(want, append(b, make([]byte, orderSize-len(b))...)...)
	}
	want = append(want, "hi 7twono"...)
	want = append(unhex(t, "79010000 0f000000"), want...)
	if d := cmp.Diff(hex.Dump(want), hex.Dump(r.Encode())); d != "" {
		t.Error(d)
	}
}
