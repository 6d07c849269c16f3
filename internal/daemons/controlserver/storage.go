package controlserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	mrand "math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/messages"
)

const (
	// stateKey is the store's only key.
	stateKey = "state"

	storeRetryInterval = 300 * time.Millisecond

	diskNonceBytes = 6
)

// restoreWithRetry calls restore until it succeeds. It returns false if ctx is canceled first.
func (s *Server) restoreWithRetry(ctx context.Context) bool {
	for {
		err := s.restore()
		if err == nil {
			return true
		}
		s.logger.Error().Str("event", "store_unavailable").Err(err).Msg("persistent state is not accessible; retrying")
		select {
		case <-time.After(storeRetryInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// restore creates the controller from the state on disk, or from an empty state at the first start, and writes the state back. The state must
// be on disk before the member accepts connections.
func (s *Server) restore() error {
	store, err := statestore.Open(statestore.Directory(s.settings.DataDir))
	if err != nil {
		return err
	}
	s.store = store
	for _, name := range store.Quarantined {
		s.logger.Error().Str("event", "file_quarantined").Str("file", name).Msg("corrupted state file renamed")
	}
	persisted, err := readState(store)
	if err != nil {
		return err
	}
	nonce := make([]byte, diskNonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return merry.Prepend(err, "generating the disk ID")
	}
	seeds := s.settings.SeedPeerAddresses()
	persisted.Initialize(s.peerAddr(), seeds, s.settings.FirstStart, hex.EncodeToString(nonce))
	self := fleet.Member{ID: persisted.DiskID, Addr: s.peerAddr(), Zone: s.settings.Zone, APIAddr: s.settings.ControlAddress}
	s.controller = controller.New(s.now(), s.controllerOptions(seeds), self, persisted)
	s.hello = messages.Hello{Member: self, Incarnation: mrand.Uint64()}
	state, err := s.controller.PersistentState()
	if err != nil {
		return err
	}
	if err := store.Put(map[string][]byte{stateKey: state}); err != nil {
		return merry.Prepend(err, "writing the initial state")
	}
	s.logger.Info().Str("event", "started").Str("node", s.settings.Name).Str("disk", persisted.DiskID).
		Uint64("view", persisted.View.View.Number).Uint64("sequence", persisted.Register.Sequence).
		Uint64("version", persisted.Register.Version).Bool("first_start", s.settings.FirstStart).Msg("persistent state loaded")
	return nil
}

// readState decodes the persistent state. It returns the zero value if the store is empty.
func readState(store *statestore.Store) (coordinator.PersistentState, error) {
	encoded, ok := store.Get(stateKey)
	if !ok {
		return coordinator.PersistentState{}, nil
	}
	persisted, err := coordinator.DecodePersistentState(encoded)
	if err != nil {
		return coordinator.PersistentState{}, merry.Prepend(err, "decoding the persistent state")
	}
	return persisted, nil
}

func (s *Server) controllerOptions(seeds []string) controller.Options {
	return controller.Options{
		MaxLease:          s.settings.Bounds.MaxLeaseDuration,
		Zone:              s.settings.Zone,
		ControlAddr:       s.settings.ControlAddress,
		Zones:             slices.Sorted(maps.Keys(s.settings.ZoneRegions)),
		Seeds:             seeds,
		LinkMbps:          s.settings.LinkMbps,
		DrainDeadline:     s.settings.Bounds.DrainDeadline,
		HeartbeatInterval: s.settings.HeartbeatInterval,
		RandomSeed:        mrand.Uint64(),
		RegionByZone:      s.settings.ZoneRegions,
		MaxInstances:      int(s.settings.MemoryMB) * maxInstancesPerMB,
		FaultTolerance:    faultTolerance(s.settings),
	}
}

// faultTolerance returns what the deployment may lose at the same time, as stated by the settings.
func faultTolerance(settings *nodesettings.Settings) membership.FaultTolerance {
	stated := settings.FaultTolerance
	return membership.FaultTolerance{
		Machines:     stated.Machines,
		Zones:        stated.Zones,
		Regions:      stated.Regions,
		RegionByZone: settings.ZoneRegions,
	}
}

// persist writes the state in the background and passes the result to the controller, which requests only one write at a time.
func (s *Server) persist(state []byte) {
	go func() {
		result := &controller.WriteResult{}
		if err := s.store.Put(map[string][]byte{stateKey: state}); err != nil {
			result.Error = err.Error()
		}
		s.enqueue(func() { s.step(controller.Event{WriteResult: result}) })
	}()
}
