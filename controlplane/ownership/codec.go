package ownership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ErrInvalidTable means that an encoded table contradicts itself.
var ErrInvalidTable = errors.New("invalid table of owners")

// encodedTable is the encoded form of a Table. Decoding ignores keys that it does not know, so that later builds can add fields.
type encodedTable struct {
	LastToken uint64           `cbor:"1,keyasint"`
	Replicas  []string         `cbor:"2,keyasint"` // sorted; ranges refer to replicas by index, and the empty ID stands for none
	Services  []encodedService `cbor:"3,keyasint"` // sorted by name
}

// encodedService is the encoded form of the ranges of a service.
type encodedService struct {
	Name   string         `cbor:"1,keyasint"`
	Ranges []encodedRange `cbor:"2,keyasint"`
}

// encodedRange is the encoded form of a Range, which begins after the end of the range before it.
type encodedRange struct {
	_ struct{} `cbor:",toarray"`

	To       uint16
	Owner    int
	Token    uint64
	Phase    Phase
	Target   int
	Handover string
}

// Encode returns the encoding of a table. Equal tables have equal encodings.
func Encode(table Table) ([]byte, error) {
	replicas := replicaIDs(table)
	index := make(map[string]int, len(replicas))
	for i, id := range replicas {
		index[id] = i
	}
	encoded := encodedTable{LastToken: table.LastToken, Replicas: replicas}
	for _, name := range slices.Sorted(maps.Keys(table.Services)) {
		service := encodedService{Name: name}
		for _, r := range table.Services[name] {
			service.Ranges = append(service.Ranges, encodedRange{
				To: r.To, Owner: index[r.Owner], Token: r.Token, Phase: r.Phase, Target: index[r.Target], Handover: r.Handover,
			})
		}
		encoded.Services = append(encoded.Services, service)
	}
	data, err := cbor.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode the table of owners: %w", err)
	}
	return data, nil
}

// replicaIDs returns all owners and targets of a table, sorted and without duplicates.
func replicaIDs(table Table) []string {
	var ids []string
	for _, ranges := range table.Services {
		for _, r := range ranges {
			ids = append(ids, r.Owner, r.Target)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Decode returns the table with the given encoding. The error wraps ErrInvalidTable or ErrNotPartition if the data decodes but contradicts
// itself.
func Decode(data []byte) (Table, error) {
	var encoded encodedTable
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return Table{}, fmt.Errorf("decode the table of owners: %w", err)
	}
	table := Table{LastToken: encoded.LastToken, Services: make(map[string][]Range, len(encoded.Services))}
	for _, service := range encoded.Services {
		ranges, err := decodeRanges(encoded, service.Ranges)
		if err != nil {
			return Table{}, fmt.Errorf("decode the owners of service %q: %w", service.Name, err)
		}
		if _, repeated := table.Services[service.Name]; repeated {
			return Table{}, fmt.Errorf("decode the owners of service %q: %w: the service is listed twice", service.Name, ErrInvalidTable)
		}
		table.Services[service.Name] = ranges
	}
	return table, nil
}

func decodeRanges(table encodedTable, encoded []encodedRange) ([]Range, error) {
	ranges := make([]Range, 0, len(encoded))
	var from uint16
	for _, r := range encoded {
		if r.Owner < 0 || r.Owner >= len(table.Replicas) || r.Target < 0 || r.Target >= len(table.Replicas) {
			return nil, fmt.Errorf("%w: range %d to %d refers to an unlisted replica", ErrInvalidTable, from, r.To)
		}
		if r.Token > table.LastToken {
			return nil, fmt.Errorf("%w: range %d to %d has token %d, the last one is %d", ErrInvalidTable, from, r.To, r.Token, table.LastToken)
		}
		ranges = append(ranges, Range{
			From: from, To: r.To, Owner: table.Replicas[r.Owner], Token: r.Token, Phase: r.Phase, Target: table.Replicas[r.Target], Handover: r.Handover,
		})
		from = r.To + 1
	}
	if err := CheckPartition(ranges); err != nil {
		return nil, err
	}
	return ranges, nil
}
