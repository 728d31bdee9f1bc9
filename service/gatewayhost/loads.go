package gatewayhost

import (
	"math"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// loggedChange is by how much the share of a region must have changed for a log line.
const loggedChange = 0.05

// loadRecorder logs how the requests of this host's region move to others and back.
type loadRecorder struct {
	log    log.Interface
	logged map[ids.Service]float64
}

// record takes in the loads of all services. It is to be called at short intervals.
func (r *loadRecorder) record(loads map[ids.Service]balancer.ServiceLoad) {
	if r.logged == nil {
		r.logged = make(map[ids.Service]float64)
	}
	for name, l := range loads {
		last, known := r.logged[name]
		if !known {
			last = 1
		}
		if math.Abs(l.Own-last) < loggedChange {
			continue
		}
		r.logged[name] = l.Own
		r.log.WithFields(log.Fields{
			"service": string(name), "ownRegion": l.Own, "was": last, "pressure": l.Pressure,
		}).Info("share of requests in the own region changed")
	}
}
