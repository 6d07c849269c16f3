package messages

// ServiceOwnership describes which replicas own the shard keys of one service.
type ServiceOwnership struct {
	Service string `cbor:"1,keyasint"`

	// LastToken is the greatest fencing token issued when the update was made. A gateway ignores updates with a lower one than it has applied.
	LastToken uint64 `cbor:"2,keyasint"`

	// Complete reports that Ranges covers all keys; otherwise keys outside Ranges are unchanged.
	Complete bool `cbor:"3,keyasint,omitempty"`

	// Owners lists the IDs of the replicas that Ranges refers to.
	Owners []string     `cbor:"4,keyasint,omitempty"`
	Ranges []OwnedRange `cbor:"5,keyasint,omitempty"`
}

// OwnedRange is a range of shard keys and its owner.
type OwnedRange struct {
	_ struct{} `cbor:",toarray"`

	From, To uint16 // inclusive
	Owner    uint32 // index in ServiceOwnership.Owners
	Token    uint64 // fencing token of the owner's grant or, while moving, of its release
	Moving   bool   // the owner no longer accepts requests on these keys, and the next owner does not yet
}

// ServiceKeyLoad lists the requests of one sharded service by shard key.
type ServiceKeyLoad struct {
	Service string     `cbor:"1,keyasint"`
	Keys    []KeyCount `cbor:"2,keyasint,omitempty"` // sorted by key; at most MaxReportedKeys
}

// KeyCount is the number of requests on a shard key in a report period.
type KeyCount struct {
	_ struct{} `cbor:",toarray"`

	Key      uint16
	Requests uint32
}

// MaxReportedKeys bounds the keys of one service in a report; the keys with the most requests are reported.
const MaxReportedKeys = 512
