package compatibility

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/testbeds/simulation"
	"zincloft.example/zincloft/internal/tools/emulate"
	"zincloft.example/zincloft/internal/tools/experiment"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
	"zincloft.example/zincloft/recovery"
)

var record = flag.Bool("record", false, "write golden files that do not exist yet")

// encoding is a codec of the programs.
type encoding struct {
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
	hex    bool // golden files are hexadecimal text
}

var (
	inCBOR = encoding{cbor.Marshal, cbor.Unmarshal, true}
	inJSON = encoding{json.Marshal, json.Unmarshal, false}

	// inFrame encodes a length-prefixed frame of a connection between processes.
	inFrame = encoding{
		func(v any) ([]byte, error) { m := v.(peertransport.Frame); return peertransport.EncodeFrame(&m) },
		func(raw []byte, v any) error {
			m, err := peertransport.ReadFrame(bytes.NewReader(raw))
			if err == nil {
				*v.(*peertransport.Frame) = *m
			}
			return err
		},
		true,
	}
)

// samples lists all types that are sent between processes or stored on disk, with the names of their golden files.
var samples = []struct {
	name     string
	encoding encoding
	of       reflect.Type
}{
	{"messages/hello", inCBOR, reflect.TypeFor[messages.Hello]()},
	{"messages/propose", inCBOR, reflect.TypeFor[peermessages.ProposeRequest]()},
	{"messages/proposed", inCBOR, reflect.TypeFor[peermessages.ProposeResponse]()},
	{"messages/confirm", inCBOR, reflect.TypeFor[peermessages.ViewConfirmation]()},
	{"messages/endpoint-weight", inCBOR, reflect.TypeFor[messages.EndpointWeight]()},
	{"messages/pair-ejection", inCBOR, reflect.TypeFor[messages.PairEjection]()},
	{"messages/window", inCBOR, reflect.TypeFor[messages.MaintenanceWindow]()},
	{"messages/gateway-status", inCBOR, reflect.TypeFor[messages.GatewayStatus]()},
	{"messages/state-update", inCBOR, reflect.TypeFor[messages.StateUpdate]()},
	{"messages/endpoint-stats", inCBOR, reflect.TypeFor[messages.EndpointStats]()},
	{"messages/load-report", inCBOR, reflect.TypeFor[messages.LoadReport]()},
	{"messages/service-ownership", inCBOR, reflect.TypeFor[messages.ServiceOwnership]()},
	{"messages/service-key-load", inCBOR, reflect.TypeFor[messages.ServiceKeyLoad]()},
	{"messages/fleet", inCBOR, reflect.TypeFor[peermessages.GatewaySummary]()},
	{"messages/load", inCBOR, reflect.TypeFor[peermessages.GroupLoad]()},
	{"messages/committed", inCBOR, reflect.TypeFor[peermessages.CommitStatus]()},
	{"membership/member", inCBOR, reflect.TypeFor[fleet.Member]()},
	{"membership/view", inCBOR, reflect.TypeFor[membership.View]()},
	{"membership/ballot", inCBOR, reflect.TypeFor[membership.Ballot]()},
	{"membership/durable", inCBOR, reflect.TypeFor[membership.DurableState]()},
	{"membership/message", inCBOR, reflect.TypeFor[membership.Message]()},
	{"membership/stamp", inCBOR, reflect.TypeFor[membership.ClockReading]()},
	{"chainreplication/register", inCBOR, reflect.TypeFor[chainreplication.Register]()},
	{"chainreplication/claim", inCBOR, reflect.TypeFor[chainreplication.Claim]()},
	{"chainreplication/note", inCBOR, reflect.TypeFor[chainreplication.Record]()},
	{"chainreplication/command", inCBOR, reflect.TypeFor[chainreplication.Command]()},
	{"chainreplication/message", inCBOR, reflect.TypeFor[chainreplication.Message]()},
	{"registry/instance", inCBOR, reflect.TypeFor[fleet.Instance]()},
	{"coordinator/persistent-state", inCBOR, reflect.TypeFor[coordinator.PersistentState]()},
	{"coordinator/message", inCBOR, reflect.TypeFor[coordinator.Message]()},
	{"outlier/observation", inCBOR, reflect.TypeFor[fleet.Observation]()},
	{"outlier/ejection", inCBOR, reflect.TypeFor[fleet.Ejection]()},
	{"maintenance/window", inCBOR, reflect.TypeFor[maintenance.Window]()},
	{"maintenance/state", inCBOR, reflect.TypeFor[maintenance.State]()},
	{"maintenance/command", inCBOR, reflect.TypeFor[maintenance.Command]()},
	{"maintenance/node", inCBOR, reflect.TypeFor[maintenance.Node]()},
	{"capacity/node", inCBOR, reflect.TypeFor[capacity.Node]()},
	{"capacity/floor", inCBOR, reflect.TypeFor[capacity.Floor]()},
	{"capacity/losses", inCBOR, reflect.TypeFor[capacity.FaultTolerance]()},
	{"peersampling/node", inCBOR, reflect.TypeFor[peersampling.Descriptor]()},
	{"peertransport/frame", inFrame, reflect.TypeFor[peertransport.Frame]()},

	// Requests and responses of control calls, and exported JSON.
	{"calls/windows.command", inJSON, reflect.TypeFor[maintenance.Command]()},
	{"calls/windows.describe", inJSON, reflect.TypeFor[controller.MaintenanceStatus]()},
	{"calls/core.describe", inJSON, reflect.TypeFor[coordinator.Status]()},
	{"exports/instance", inJSON, reflect.TypeFor[fleet.Instance]()},
	{"exports/view", inJSON, reflect.TypeFor[membership.View]()},
	{"exports/governor-state", inJSON, reflect.TypeFor[recovery.State]()},

	// Files of experiments, emulations and simulations.
	{"files/experiment-row", inJSON, reflect.TypeFor[experiment.Record]()},
	{"files/emulation-result", inJSON, reflect.TypeFor[emulate.Result]()},
	{"files/simulation-schedule", inJSON, reflect.TypeFor[simulation.Schedule]()},
}

// laterFields are the fields that were added to a type after its golden files were written, as "package.Type.Field", in the order in which
// they were added: one set per addition. All are zero in NAME. Those of the first set and before are set in NAME.later, those of the second
// set and before in NAME.later2, and so on.
var laterFields = []fieldSet{
	{
		"coordinator.Message.HintsPersisted": true,
		"peertransport.Frame.PersistRequest": true,
	},
	{
		"messages.StateUpdate.Ownership": true,
		"messages.LoadReport.KeyLoads":   true,
		"peertransport.Frame.KeyLoads":   true,

		"simulation.Schedule.ShardedReplicas": true,
		"simulation.Schedule.LateCallRate":    true,
	},
	{
		"simulation.Schedule.ExceedsTolerance": true,
	},
	{
		"fleet.Instance.WarmupHeldMillis": true,

		"simulation.Schedule.MaxHeartbeatDelay": true,
	},
}

// sampleValue is a value of a sample's type, and the name of its golden file.
type sampleValue struct {
	name  string
	value reflect.Value
	omit  fieldSet // fields that are zero
}

// sampleValues returns a value with all fields set but those of laterFields, and one for each set of laterFields that the type has fields of.
func sampleValues(name string, of reflect.Type) []sampleValue {
	var values []sampleValue
	for addition := range len(laterFields) + 1 {
		omit := union(laterFields[addition:])
		value, _ := filled(of, omit)
		switch {
		case addition == 0:
			values = append(values, sampleValue{name, value, omit})
		case hasField(of, laterFields[addition-1]):
			values = append(values, sampleValue{name + laterSuffix(addition), value, omit})
		}
	}
	return values
}

// laterSuffix returns the suffix of a golden file's name for an addition, which counts from 1.
func laterSuffix(addition int) string {
	if addition == 1 {
		return ".later"
	}
	return fmt.Sprintf(".later%d", addition)
}

// hasField reports whether a type contains any field of a set.
func hasField(of reflect.Type, fields fieldSet) bool {
	_, omitted := filled(of, fields)
	return omitted
}

// TestEncodings verifies that filled and zero values are encoded to the bytes of the golden files, and that these are decoded to the
// same values.
func TestEncodings(t *testing.T) {
	for _, s := range samples {
		t.Run(s.name, func(t *testing.T) {
			for _, sample := range sampleValues(s.name, s.of) {
				if zero := zeroFields(s.of.String(), sample.value, sample.omit); len(zero) > 0 {
					t.Fatalf("%s: fields of the sample are zero: %v", sample.name, zero)
				}
				compare(t, sample.name, s.encoding, sample.value)
			}
			compare(t, s.name+".zero", s.encoding, reflect.Zero(s.of))
		})
	}
}

func compare(t *testing.T, name string, e encoding, value reflect.Value) {
	t.Helper()
	raw, err := e.encode(value.Interface())
	if err != nil {
		t.Fatalf("%s: encoding: %v", name, err)
	}
	want := readGolden(t, name, e, raw)
	if !bytes.Equal(raw, want) {
		t.Errorf("%s: the encoding has changed:\n got %s\nwant %s", name, format(e, raw), format(e, want))
	}
	decoded := reflect.New(value.Type())
	if err := e.decode(want, decoded.Interface()); err != nil {
		t.Fatalf("%s: decoding the golden file: %v", name, err)
	}
	if !reflect.DeepEqual(decoded.Elem().Interface(), value.Interface()) {
		t.Errorf("%s: the golden file is decoded to\n%+v\nwant\n%+v", name, decoded.Elem().Interface(), value.Interface())
	}
}

// format returns an encoding as it is stored in golden files.
func format(e encoding, raw []byte) string {
	if e.hex {
		return hex.EncodeToString(raw)
	}
	return string(raw)
}

// readGolden reads the golden file of a sample. With -record it first writes current to a missing file.
func readGolden(t *testing.T, name string, e encoding, current []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".json")
	if e.hex {
		path = filepath.Join("testdata", name+".hex")
	}
	if _, err := os.Stat(path); *record && errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(format(e, current)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.TrimSpace(text)
	if !e.hex {
		return text
	}
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return raw
}

// TestGoldenFilesAreUsed verifies that each golden file belongs to a sample.
func TestGoldenFilesAreUsed(t *testing.T) {
	listed := map[string]bool{}
	for _, s := range samples {
		listed[s.name+".zero"] = true
		for _, sample := range sampleValues(s.name, s.of) {
			listed[sample.name] = true
		}
	}
	files, err := filepath.Glob("testdata/*/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimPrefix(filepath.ToSlash(file), "testdata/")
		ext := filepath.Ext(name)
		if (ext == ".hex" || ext == ".json") && filepath.Dir(file) != windowsDir && !listed[strings.TrimSuffix(name, ext)] {
			t.Errorf("%s belongs to no sample", file)
		}
	}
}
