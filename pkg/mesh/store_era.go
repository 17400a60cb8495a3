package mesh

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// The errors of sources that belong to another era of the store.
var (
	errEarlierEra = errors.New("the response of the store belongs to an earlier era than is known; a proxy without the header of the era, or an old copy, may have sent it")
	errOtherEra   = errors.New("the reader is in another era of the store")
)

// tableEraParam is the query parameter of a request for a feed that names the era in which the daemon's table
// was read.
const tableEraParam = "table_era"

// noteLaterEra records since when a peer is in a later era. The caller holds the mutex.
func (f *Fleet) noteLaterEra(now time.Time) {
	if f.laterEraSince.IsZero() && catalog.Era(f.peerRevision) > catalog.Era(f.catalog.Revision()) {
		f.laterEraSince = now
	}
}

// knownEra returns the latest era that the fleet or a peer is in, and the time since which a peer has been ahead; zero
// if none is.
func (f *Fleet) knownEra() (era uint64, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return catalog.Era(max(f.catalog.Revision(), f.peerRevision)), f.laterEraSince
}

// checkEra returns errEarlierEra if a response of the store belongs to an earlier era than the view or than that of
// another daemon. It then counts as no response, and the first of several is logged.
func (f *Follower) checkEra(revision uint64) error {
	known, _ := f.Fleet.knownEra()
	if catalog.Era(revision) >= known {
		f.ignoring = false
		return nil
	}
	if !f.ignoring {
		f.ignoring = true
		f.Log.Warn("store_response_ignored", zap.Uint64("response_era", catalog.Era(revision)),
			zap.Uint64("response_revision", catalog.StoreRevision(revision)), zap.Uint64("known_era", known), positionField(f.Fleet.Revision()), zap.Error(errEarlierEra))
	}
	return errEarlierEra
}

// checkFrameEra returns errOtherEra if a frame of a feed that has been applied, or ignored, belongs to another era
// than the view, or if other daemons have been in a later one for lagTolerance: within it a reader notices a restore
// by itself. A reader in an earlier era proves nothing about the store, although its proofs may be recent, for
// instance if the store's responses pass an old proxy on their way to it.
func checkFrameEra(f *Fleet, now time.Time, frame uint64) error {
	known, since := f.knownEra()
	if catalog.Era(f.Revision()) != catalog.Era(frame) || catalog.Era(frame) < known && now.Sub(since) > lagTolerance {
		return errOtherEra
	}
	return nil
}

// logRestore logs that the store was restored from an older copy if the catalog has entered a later era than that of
// its previous revision. The first state of a daemon is no restore. The caller holds the mutex.
func (f *Fleet) logRestore(before uint64, source string) {
	now := f.catalog.Revision()
	if before == 0 || catalog.Era(now) == catalog.Era(before) {
		return
	}
	f.log.Warn("store_restored", zap.Uint64("previous_era", catalog.Era(before)), zap.Uint64("previous_revision", catalog.StoreRevision(before)),
		zap.Uint64("era", catalog.Era(now)), zap.Uint64("revision", catalog.StoreRevision(now)), zap.String("source", source))
}

// registerFleet registers the gauge of the store's era.
func registerFleet(registry prometheus.Registerer, f *Fleet) error {
	return registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Name: "store_era", Help: "Number of times that the store was restored from an older copy, as far as the daemon's view shows.",
	}, func() float64 { return float64(catalog.Era(f.View().Revision)) }))
}

// position is a position in the log.
type position uint64

// MarshalLogObject adds the revision and, after a restore of the store, the era.
func (p position) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	if era := catalog.Era(uint64(p)); era > 0 {
		enc.AddUint64("era", era)
	}
	enc.AddUint64("revision", catalog.StoreRevision(uint64(p)))
	return nil
}

// positionField returns the fields "revision" and, after a restore of the store, "era" of a log line.
func positionField(p uint64) zap.Field { return zap.Inline(position(p)) }

// peerRestore is the encoding of the last restore of the store between daemons.
type peerRestore struct {
	// Position is catalog.Restore.Position.
	Position uint64 `cbor:"1,keyasint"`
	// Grace is the remaining grace period in milliseconds, since the clocks of daemons differ. It is 0 after the
	// end.
	Grace int64 `cbor:"2,keyasint,omitempty"`
	// TableEra is the era in which the table of the view was read.
	TableEra uint64 `cbor:"3,keyasint,omitempty"`
}

// encodeRestore returns the last restore of the store that a view knows; nil in era 0.
func encodeRestore(now time.Time, v *catalog.View) *peerRestore {
	if v.Restore.Position == 0 {
		return nil
	}
	return &peerRestore{v.Restore.Position, max(0, v.Restore.GraceEnd.Sub(now).Milliseconds()), v.TableEra}
}

// addTo adds the restore, which may be nil, to a state.
func (r *peerRestore) addTo(now time.Time, s *catalog.State) {
	if r == nil || r.Position == 0 {
		return
	}
	s.TableEra = r.TableEra
	grace := min(max(r.Grace, 0), maxRestoreGrace.Milliseconds())
	s.Restore = &catalog.Restore{Position: r.Position, GraceEnd: now.Add(time.Duration(grace) * time.Millisecond)}
}

// maxRestoreGrace bounds the remaining grace period that another daemon names. It is that of the catalog.
const maxRestoreGrace = 2 * time.Second

// addRewrittenTable adds the table if the other daemon has one of the same version that was read in an earlier
// era and may have other contents.
func (c *change) addRewrittenTable(current *catalog.View, peerVersion, peerEra uint64) {
	if c.Table == nil && current.Table != nil && current.Table.Version == peerVersion && current.TableEra > peerEra {
		c.Table = encodeTable(current.Table)
	}
}

// parseEra reads an era of a query; 0 if it is missing or invalid.
func parseEra(text string) uint64 {
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return era
}
