package steersim

import (
	"math"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// utilisationWindow is the time over which utilisation is averaged. It is shorter
// than the overload that a region's queue can absorb.
const utilisationWindow = time.Second

// Result holds measurements of the traffic.
type Result struct {
	// Offered counts all requests, Failed those sent to dead hosts, and Refused
	// those that the shift limits of all tried hosts refused.
	Offered, Failed, Refused int
	// PeakUtilisation is the highest utilisation of each region: the slots needed
	// by the arrivals of one second, divided by the region's slots.
	PeakUtilisation map[ids.Region]float64
	// MaxGrowth is the largest growth within a minute of the rate that any region
	// took over from others, as a share of its capacity.
	MaxGrowth float64
	// HostImbalance is the highest rate of a host divided by its region's mean.
	HostImbalance float64
	// Swing is the sum of all changes of the regions' utilisation from one second
	// to the next.
	Swing float64
	// Overload is the integral over time of the utilisation above 1, summed over
	// all regions.
	Overload time.Duration
	// LastFailed is the last time at which a request was sent to a dead host.
	LastFailed time.Time

	arrivals        map[ids.Region][]float64
	lastUtilisation map[ids.Region]float64
}

// Reset clears the measurements.
func (s *Sim) Reset() { s.Result = Result{} }

// Breaches returns the violations of the shift cap that the hosts' Checker found.
func (s *Sim) Breaches() []checker.Breach { return s.checker.Breaches() }

// MaxUtilisation returns the highest utilisation of any region.
func (r *Result) MaxUtilisation() float64 {
	var highest float64
	for _, u := range r.PeakUtilisation {
		highest = max(highest, u)
	}
	return highest
}

// measure updates the measurements with the tick that has just passed.
func (s *Sim) measure() {
	res := &s.Result
	if res.PeakUtilisation == nil {
		res.PeakUtilisation = make(map[ids.Region]float64)
		res.arrivals = make(map[ids.Region][]float64)
		res.lastUtilisation = make(map[ids.Region]float64)
	}
	for _, r := range s.regions {
		s.measureGrowth(r)
		if r.dead {
			continue
		}
		res.arrivals[r.Name] = append(res.arrivals[r.Name], r.arriving)
		n := int(utilisationWindow / tick)
		if len(res.arrivals[r.Name]) < n {
			continue
		}
		var sum float64
		for _, x := range res.arrivals[r.Name][len(res.arrivals[r.Name])-n:] {
			sum += x
		}
		utilisation := sum / utilisationWindow.Seconds() * s.cfg.ServiceTime.Seconds() / r.slots
		res.PeakUtilisation[r.Name] = max(res.PeakUtilisation[r.Name], utilisation)
		if len(res.arrivals[r.Name])%n == 0 {
			res.Swing += math.Abs(utilisation - res.lastUtilisation[r.Name])
			res.lastUtilisation[r.Name] = utilisation
			res.Overload += time.Duration(max(0, utilisation-1) * float64(utilisationWindow))
		}
	}
	s.measureHosts()
}

// measureGrowth compares the present rate of requests taken over, averaged over
// checker.ShiftPeriod, with the lowest one in checker.ShiftWindow.
func (s *Sim) measureGrowth(r *region) {
	r.remoteHistory = append(r.remoteHistory, r.remoteArrivals)
	period, window := int(checker.ShiftPeriod/tick), int(checker.ShiftWindow/tick)
	r.remoteHistory = r.remoteHistory[max(0, len(r.remoteHistory)-period-window):]
	if len(r.remoteHistory) < period+window {
		return
	}
	sum := 0
	least := math.MaxInt
	for i, n := range r.remoteHistory {
		sum += n
		if i >= period {
			sum -= r.remoteHistory[i-period]
		}
		if i >= period-1 {
			least = min(least, sum)
		}
	}
	capacity := r.slots / s.cfg.ServiceTime.Seconds()
	s.Result.MaxGrowth = max(s.Result.MaxGrowth, float64(sum-least)/checker.ShiftPeriod.Seconds()/capacity)
}

func (s *Sim) measureHosts() {
	total := make(map[*region]float64)
	for _, h := range s.hosts {
		total[h.region] += h.rate
	}
	for _, h := range s.hosts {
		mean := total[h.region] / float64(h.region.Hosts)
		if !h.region.dead && mean*s.cfg.ServiceTime.Seconds() > 1 {
			s.Result.HostImbalance = max(s.Result.HostImbalance, h.rate/mean)
		}
	}
}
