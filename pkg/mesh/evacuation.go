package mesh

import (
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/refusal"
)

// EvacuatedDataCentre is an evacuated data centre as reported to operators.
type EvacuatedDataCentre struct {
	Name string `json:"data_centre"`
	// Revision is the store revision of the evacuation's last change that the daemon knows, and Era its era.
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// Unknown is set if the daemon's settings do not list the data centre.
	Unknown bool `json:"unknown,omitempty"`
}

// evacuatedRefusal returns the refusal of a job for an upstream in an evacuated data centre.
func evacuatedRefusal() *refusal.Refusal {
	return notRun(refusal.Leaving, "the data centre of the instance is evacuated; send the request to another one", 0)
}

// evacuatedDataCentres returns the evacuated data centres of a view.
func (d *Daemon) evacuatedDataCentres(v *catalog.View) []EvacuatedDataCentre {
	list := make([]EvacuatedDataCentre, 0, len(v.Evacuated))
	for _, e := range v.Evacuated {
		_, known := d.settings.DataCentres[e.DataCentre]
		list = append(list, EvacuatedDataCentre{Name: e.DataCentre, Revision: catalog.StoreRevision(e.Revision), Era: catalog.Era(e.Revision), Unknown: !known})
	}
	return list
}

// logEvacuations logs the evacuations that begin and end with a new view. The revision of an end is that
// of the view, which a daemon that is fed knows as well.
func (d *Daemon) logEvacuations(old, v *catalog.View) {
	for _, e := range d.evacuatedDataCentres(v) {
		if old.IsEvacuated(e.Name) {
			continue
		}
		fields := []zap.Field{zap.String("data_centre", e.Name), positionField(catalog.Position(e.Era, e.Revision))}
		if e.Unknown {
			d.log.Warn("evacuation_began", append(fields, zap.String("reason", "the settings do not list this data centre, so that the evacuation has no effect; check the name"))...)
			continue
		}
		d.log.Info("evacuation_began", fields...)
	}
	for _, e := range old.Evacuated {
		if !v.IsEvacuated(e.DataCentre) {
			d.log.Info("evacuation_ended", zap.String("data_centre", e.DataCentre), positionField(v.Revision))
		}
	}
}
