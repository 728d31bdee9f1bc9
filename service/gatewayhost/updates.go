package gatewayhost

import (
	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// SetDocument applies a version of the operators' configuration document.
func (h *Host) SetDocument(d router.Document) {
	for _, s := range d.Services {
		h.balancer.SetColdRate(s.Name, s.ColdRate)
	}
	r := router.New(d)
	old := h.router.Load()
	for i := range r.Workspaces {
		h.throttler.Prepare(&r.Workspaces[i])
		h.logChangedLimit(old, &r.Workspaces[i])
	}
	h.router.Store(r)
	h.log.WithFields(log.Fields{"version": d.Version, "routes": len(d.Routes)}).Info("configuration in force")
}

// SetTargets replaces the registered targets by all, and reading says whether the store
// was read normally, after an outage or after a restore.
func (h *Host) SetTargets(all []registrar.Target, reading registrar.ReadKind) {
	h.registrar.Replace(all, reading)
	h.log.WithFields(log.Fields{"targets": len(all), "reading": reading.String()}).Info("targets read")
}

// PutTarget adds or updates a registered target.
func (h *Host) PutTarget(t registrar.Target) {
	h.registrar.Put(t)
	h.log.WithFields(log.Fields{
		"target": string(t.ID), "service": string(t.Service), "draining": t.Draining,
	}).Info("target registered")
}

// RemoveTarget removes a target whose registration ended.
func (h *Host) RemoveTarget(id ids.Target) {
	h.registrar.Remove(id)
	h.log.WithField("target", string(id)).Info("target gone")
}

// SetEvacuated replaces the set of evacuated availability zones, whose targets get no
// requests.
func (h *Host) SetEvacuated(zones map[ids.Zone]bool) {
	h.balancer.SetEvacuatedZones(zones)
	for z := range zones {
		h.log.WithField("zone", string(z)).Info("zone evacuated")
	}
}

// SetIsolated replaces the requests that the platform's store contains as isolated.
func (h *Host) SetIsolated(all []fingerprinter.Fingerprint) { h.isolator.SetStored(all) }

// UnsavedIsolated returns isolated requests that are to be written to the platform's store.
func (h *Host) UnsavedIsolated() []fingerprinter.Fingerprint { return h.isolator.Unsaved() }

// SetHosts replaces the registered entry hosts.
func (h *Host) SetHosts(all []lister.Host) {
	h.lister.SetHosts(all, h.broadcaster.Available())
	h.log.WithFields(log.Fields{"registered": len(all), "known": len(h.lister.Hosts())}).Info("hosts read")
}

// logChangedLimit logs a workspace's rate limit if it differs from that in old, the
// routes in force before, or if old is nil.
func (h *Host) logChangedLimit(old *router.Router, w *router.Workspace) {
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
