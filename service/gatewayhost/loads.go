package gatewayhost

import (
	"math"
	"sync"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// loggedChange is the least change of the own region's share, as a fraction of the requests, that
// is logged.
const loggedChange = 0.05

// loadRecorder tells the load of services, and how the requests of this host's region move to
// other regions and back.
type loadRecorder struct {
	log     log.Interface
	metrics *collector.Collector
	logged  map[ids.Service]float64

	mu    sync.Mutex
	loads map[ids.Service]balancer.ServiceLoad
}

// record takes in the loads of all services. It is to be called at short intervals.
func (r *loadRecorder) record(loads map[ids.Service]balancer.ServiceLoad) {
	if r.logged == nil {
		r.logged = make(map[ids.Service]float64)
	}
	r.mu.Lock()
	r.loads = loads
	r.mu.Unlock()
	for name, l := range loads {
		last, known := r.logged[name]
		if !known {
			last = 1
			r.logged[name] = last
			r.addGauges(name)
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

// addGauges adds the load of a service to the metrics, in percent.
func (r *loadRecorder) addGauges(name ids.Service) {
	r.metrics.Gauge("load."+string(name)+".pressure", func() int64 { return percent(r.load(name).Pressure) })
	r.metrics.Gauge("load."+string(name)+".ownRegion", func() int64 { return percent(r.load(name).Own) })
}

func (r *loadRecorder) load(name ids.Service) balancer.ServiceLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.loads[name]; ok {
		return l
	}
	return balancer.ServiceLoad{Own: 1} // its objects no longer have candidates
}

func percent(fraction float64) int64 { return int64(math.Round(100 * fraction)) }
