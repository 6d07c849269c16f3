package simadapter

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/rules"
)

func TestReplyEncodesOrders(t *testing.T) {
	var reply Reply
	reply.SelectInstance(3)
	for _, order := range []rules.Order{
		rules.EndpointWeight{Table: 117, Replica: 0x2c9011f2, Weight: 0.75},
		rules.WakeAfter{After: 500 * time.Millisecond, TimerID: 77},
		rules.Admit{Table: 117, Groups: 2, Level: 0.75, Retry: rules.RetryUnprocessed},
		rules.Bind{Proxy: 41, Table: 117}, rules.ReplicaEjection{Replica: 9, Ejected: true}, rules.WatchList{On: true},
		rules.ClearTable{Table: 117}, rules.FetchList{}, rules.Probe{Replica: 9}, rules.AckRequest{Version: 2, AllProxies: true},
		rules.SendToPeer{To: 65535, Data: []byte("hi 7")},
	} {
		if err := reply.AddOrder(order); err != nil {
			t.Fatal(err)
		}
	}
	reply.SelectInstance(5)
	if err := reply.AddOrder(rules.Log{Text: "two"}); err != nil {
		t.Fatal(err)
	}
	reply.AddBug("no")
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
	if d := cmp.Diff(hex.Dump(want), hex.Dump(reply.Encode())); d != "" {
		t.Error(d)
	}
}
