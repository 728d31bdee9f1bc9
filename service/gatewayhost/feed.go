package gatewayhost

import (
	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// SetDocument puts a version of the operators' document in force.
func (h *Host) SetDocument(d router.Document) {
	for _, s := range d.Services {
		h.placer.SetColdRate(s.Name, s.ColdRate)
	}
	r := router.New(d)
	old := h.router.Load()
	for i := range r.Workspaces {
		h.allotter.Prepare(&r.Workspaces[i])
		h.logLimit(old, &r.Workspaces[i])
	}
	h.router.Store(r)
	h.log.WithFields(log.Fields{"version": d.Version, "routes": len(d.Routes)}).Info("configuration in force")
}

// SetTargets replaces all registered targets.
func (h *Host) SetTargets(all []registrar.Target, reading registrar.ReadKind) {
	h.registrar.Replace(all, reading)
	h.log.WithFields(log.Fields{"targets": len(all), "reading": reading.String()}).Info("targets read")
}

// PutTarget takes one registration.
func (h *Host) PutTarget(t registrar.Target) {
	h.registrar.Put(t)
	h.log.WithFields(log.Fields{
		"target": string(t.ID), "service": string(t.Service), "draining": t.Draining,
	}).Info("target registered")
}

// RemoveTarget forgets a target that left.
func (h *Host) RemoveTarget(id ids.Target) {
	h.registrar.Remove(id)
	h.log.WithField("target", string(id)).Info("target gone")
}

// SetEvacuated replaces the zones whose targets get nothing.
func (h *Host) SetEvacuated(zones map[ids.Zone]bool) {
	h.placer.SetEvacuatedZones(zones)
	for z := range zones {
		h.log.WithField("zone", string(z)).Info("zone evacuated")
	}
}

// SetHosts replaces the entry hosts that are registered.
func (h *Host) SetHosts(all []lister.Host) {
	h.lister.SetHosts(all, h.gossiper.Available())
	h.log.WithFields(log.Fields{"registered": len(all), "known": len(h.lister.Hosts())}).Info("hosts read")
}

// logLimit writes a line if a workspace's limit differs from the last version's.
func (h *Host) logLimit(old *router.Router, w *router.Workspace) {
	if old != nil {
		for i := range old.Workspaces {
			o := &old.Workspaces[i]
			if o.Name == w.Name && o.Rate == w.Rate && o.Burst == w.Burst {
				return
			}
		}
	}
	h.log.WithFields(log.Fields{"workspace": string(w.Name), "rate": w.Rate, "burst": w.Burst}).Info("limit in force")
}
