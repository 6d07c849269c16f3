package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// SchemaVersion is the version of the file format. Version 1 stored the whole state as one value. Version 2 has a value for
// each replica, so that a write holds only the changes.
const SchemaVersion = 2

const checksumBytes = 8 // prefix of each value

var (
	metaBucket      = []byte("meta")
	replicaBucket   = []byte("replicas")
	schemaKey       = []byte("schema")
	headerKey       = []byte("head")
	schema1StateKey = []byte("whole")
)

// header is the part of the state that does not belong to a replica.
type header struct {
	Governor      string          `json:"governor"`
	Discovery     string          `json:"discovery"`
	Version       uint64          `json:"version"`
	ConfirmedAt   rules.Time      `json:"heard_ns"`
	WrittenAt     rules.Time      `json:"written_ns"`
	NextReplicaID rules.ReplicaID `json:"next"`
	Replicas      int             `json:"replicas"`
}

// headerOf returns the header of a state.
func headerOf(state recovery.State) header {
	return header{
		Governor:      state.Governor,
		Discovery:     state.Discovery,
		Version:       state.Version,
		ConfirmedAt:   state.ConfirmedAt,
		WrittenAt:     state.WrittenAt,
		NextReplicaID: state.NextReplicaID,
		Replicas:      len(state.Replicas),
	}
}

// state returns a state with this header and without replicas.
func (h header) state() recovery.State {
	return recovery.State{
		Governor:      h.Governor,
		Discovery:     h.Discovery,
		Version:       h.Version,
		ConfirmedAt:   h.ConfirmedAt,
		WrittenAt:     h.WrittenAt,
		NextReplicaID: h.NextReplicaID,
	}
}

// replicaRecord is the stored form of a replica.
type replicaRecord struct {
	ReplicaID  rules.ReplicaID `json:"number"`
	Zone       rules.ZoneID    `json:"zone"`
	Kind       rules.KindID    `json:"kind"`
	Cell       rules.CellID    `json:"cell"`
	State      rules.State     `json:"state"`
	Listed     float64         `json:"weight"`
	StartedAt  rules.Time      `json:"started_ns"`
	Speed      float64         `json:"speed,omitempty"`
	Throughput float64         `json:"answers,omitempty"`
	Ejected    bool            `json:"held_out,omitempty"`
}

// recordOf returns the stored form of a replica.
func recordOf(r recovery.Replica) replicaRecord {
	return replicaRecord{
		ReplicaID:  r.Entry.Replica,
		Zone:       r.Entry.Zone,
		Kind:       r.Entry.Kind,
		Cell:       r.Entry.Cell,
		State:      r.Entry.State,
		Listed:     r.Entry.Listed,
		StartedAt:  r.Entry.StartedAt,
		Speed:      r.Learned.Speed,
		Throughput: r.Learned.Throughput,
		Ejected:    r.Learned.Ejected,
	}
}

// replica returns the replica that a record stores.
func (r replicaRecord) replica(name string) recovery.Replica {
	return recovery.Replica{
		Name: name,
		Entry: rules.Entry{
			Replica:   r.ReplicaID,
			Zone:      r.Zone,
			Kind:      r.Kind,
			Cell:      r.Cell,
			State:     r.State,
			Listed:    r.Listed,
			StartedAt: r.StartedAt,
		},
		Learned: rules.PriorMeasurement{Replica: r.ReplicaID, Speed: r.Speed, Throughput: r.Throughput, Ejected: r.Ejected},
	}
}

// schema1State is the only value in a file of version 1.
type schema1State struct {
	header
	Records map[string]replicaRecord `json:"all"`
}

// encodeValue encodes a value as a checksum followed by JSON.
func encodeValue(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

// decodeValue verifies the checksum of a value and decodes it. Errors wrap ErrDamaged.
func decodeValue(b []byte, v any) error {
	if len(b) < checksumBytes || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	if err := json.Unmarshal(b[checksumBytes:], v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// putValue encodes a value and puts it into a bucket.
func putValue(b *bbolt.Bucket, key []byte, v any) error {
	encoded, err := encodeValue(v)
	if err != nil {
		return err
	}
	if err := b.Put(key, encoded); err != nil {
		return fmt.Errorf("writing %s: %w", key, err)
	}
	return nil
}

// migrate initializes an empty file or migrates one of an older version to SchemaVersion.
func (s *Store) migrate(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return fmt.Errorf("the bucket %s: %w", metaBucket, err)
	}
	replicas, err := tx.CreateBucketIfNotExists(replicaBucket)
	if err != nil {
		return fmt.Errorf("the bucket %s: %w", replicaBucket, err)
	}
	schema := 0
	if b := meta.Get(schemaKey); b != nil {
		if err := decodeValue(b, &schema); err != nil {
			return err
		}
	}
	switch schema {
	case SchemaVersion:
		return nil
	case 0:
	case 1:
		if err := migrateSchema1(meta, replicas); err != nil {
			return err
		}
	default:
		return fmt.Errorf("%s: %w: schema %d, the newest supported is %d", s.path, ErrNewerSchema, schema, SchemaVersion)
	}
	return putValue(meta, schemaKey, SchemaVersion)
}

// migrateSchema1 splits the value of version 1 into a header and a value for each replica.
func migrateSchema1(meta, replicas *bbolt.Bucket) error {
	var state schema1State
	if err := decodeValue(meta.Get(schema1StateKey), &state); err != nil {
		return err
	}
	for name, record := range state.Records {
		if err := putValue(replicas, []byte(name), record); err != nil {
			return err
		}
	}
	state.Replicas = len(state.Records)
	if err := putValue(meta, headerKey, state.header); err != nil {
		return err
	}
	if err := meta.Delete(schema1StateKey); err != nil {
		return fmt.Errorf("deleting: %w", err)
	}
	return nil
}

// checkSchema returns an error unless a file that is open for reading has SchemaVersion.
func checkSchema(tx *bbolt.Tx) error {
	schema := 0
	if meta := tx.Bucket(metaBucket); meta != nil {
		if err := decodeValue(meta.Get(schemaKey), &schema); err != nil {
			return err
		}
	}
	if schema > SchemaVersion {
		return fmt.Errorf("%w: schema %d, the newest supported is %d", ErrNewerSchema, schema, SchemaVersion)
	}
	if schema < SchemaVersion {
		return fmt.Errorf("schema %d: the next start of a governor migrates it to %d", schema, SchemaVersion)
	}
	return nil
}
