package simadapter

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/rules"
)

// encodeFrame encodes a frame from records and a tail, given as hex with spaces. Records are padded with zeros.
func encodeFrame(t *testing.T, tail string, records ...string) []byte {
	t.Helper()
	var body []byte
	for _, r := range records {
		b := unhex(t, r)
		body = append(body, append(b, make([]byte, eventSize-len(b))...)...)
	}
	body = append(body, unhex(t, tail)...)
	header := make(orderRecord, batchHeaderSize)
	header.putUint32(0, uint32(batchHeaderSize+len(body)))
	header.putUint64(4, 5)
	header.putUint32(12, uint32(len(records)))
	return append(header, body...)
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecoderTranslatesEvents(t *testing.T) {
	in := append(encodeFrame(t, ""), encodeFrame(t, "074a1203 00 01 0200 01 0000803f 0000000000000000",
		"01 0300", "04 4d00000000000000", "0d 00 2900000000000000 00000000 01000000",
		"01 0500", "0c 2900", "06 2900 00 0000d040 01",
		"01 0300", "07 01000000 903ce00200000000 00ca9a3b00000000 00 0e000000 074a1203 03 52b81e3f 0000e040 00006841")...)
	d := NewDecoder(bytes.NewReader(in))
	d.loadMetrics[3] = []string{"cpu_share", "busy_reqs", "svc_ms"}
	var got []*Batch
	for {
		b, err := d.Next()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		got = append(got, b)
	}
	want := []*Batch{{Now: 5}, {Now: 5, Instances: []*InstanceEvents{
		{Instance: 3, Events: []rules.Event{
			rules.Wake{TimerID: 77},
			rules.List{Scope: rules.Changes, Entries: []rules.Entry{
				{Replica: 0x03124a07, Kind: 1, Cell: 2, State: rules.Ready, Listed: 1}}},
			rules.EndpointStats{Replica: 0x03124a07, Attempts: 14, Dropped: 1, MeanLatency: 48250 * time.Microsecond,
				Window: time.Second, Report: rules.LoadReport{Utilization: float64(float32(0.62)), InFlight: 7,
					ServiceTime: 14.5, Rate: rules.Absent}}}},
		{Instance: 5, Events: []rules.Event{rules.Left{Proxy: 41}, rules.Joined{Proxy: 41, FlowRate: 6.5, Fresh: true}}},
	}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestDecoderErrors(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated frame":         encodeFrame(t, "", "01 0300")[:40],
		"inside a header":         encodeFrame(t, "")[:7],
		"unknown event code 99":   encodeFrame(t, "", "01 0300", "63"),
		"before any instance":     encodeFrame(t, "", "0c 2900"),
		"points past the tail":    encodeFrame(t, "", "01 0300", "05 01000000 00000000 09000000"),
		"not the expected JSON":   encodeFrame(t, "7b6f6f70", "01 0300", "08 0100000000000000 00000000 04000000"),
		"unknown list scope":      encodeFrame(t, "", "01 0300", "0d 09"),
		"bytes for 9 records":     {16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0},
		"unknown replica state 7": encodeFrame(t, "074a1203 00 01 0200 07 0000803f 0000000000000000", "01 0300", "0d 00 2900000000000000 00000000 01000000"),
	} {
		if _, err := NewDecoder(bytes.NewReader(in)).Next(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("want an error with %q, got %v", name, err)
		}
	}
}
