package checker

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The shift cap limits how fast traffic moves between regions. A region's level is
// the rate of requests that it took over from callers of other regions, in requests
// per second, averaged over the last ShiftPeriod. Between any two times at most
// ShiftWindow apart, the level may grow by the shift cap times the region's
// capacity.
const (
	// ShiftPeriod is the time over which a level is averaged.
	ShiftPeriod = 15 * time.Second
	// ShiftWindow is the time within which a level may grow by the cap.
	ShiftWindow = time.Minute
	// ShiftBurst is the longest time for which a host accumulates unused growth.
	ShiftBurst = 250 * time.Millisecond
	// ShiftSlice is the length of the slices in which requests are counted.
	ShiftSlice = 250 * time.Millisecond
)

const (
	periodSlices = int64(ShiftPeriod / ShiftSlice)
	windowSlices = int64(ShiftWindow / ShiftSlice)
	shiftSlices  = periodSlices + windowSlices
)

// Takeover is one request that a host took over from a caller of another region.
type Takeover struct {
	Region  ids.Region
	Service ids.Service
	Host    ids.Instance
	// Share is the host's share of its region's seats, from 0 to 1.
	Share float64
	// Growth is by how much the host's level may grow, in requests per second.
	Growth float64
}

// shiftChecks holds the requests that were taken over.
type shiftChecks struct {
	regions map[regionService]*regionShift
}

type regionService struct {
	region  ids.Region
	service ids.Service
}

// regionShift counts the requests of one service that one region took over.
type regionShift struct {
	// requestCounts is a ring buffer of the requests in each slice, indexed by the
	// slice number modulo its length. newestSlice is the number of the newest slice.
	requestCounts [shiftSlices]int
	newestSlice   int64
	hosts         map[ids.Instance]*shiftHost
}

// shiftHost holds the largest share and growth of one host since it last paused for
// a ShiftPeriod, and the slice in which it last took over a request.
type shiftHost struct {
	share, growth float64
	lastSlice     int64
}

// RequestTakenOver reports that a host took over a request. The growth of its
// region's level is checked against the cap at the end of each slice.
func (c *Checker) RequestTakenOver(t Takeover) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shift(regionService{t.Region, t.Service})
	c.advanceSlices(s, t, time.Now().UnixNano()/int64(ShiftSlice))
	s.requestCounts[s.newestSlice%shiftSlices]++
	h := s.hosts[t.Host]
	if h == nil {
		h = &shiftHost{}
		s.hosts[t.Host] = h
	}
	if s.newestSlice-h.lastSlice >= periodSlices {
		*h = shiftHost{}
	}
	h.lastSlice = s.newestSlice
	h.share = max(h.share, t.Share)
	h.growth = max(h.growth, t.Growth)
}

// shift returns the state of a region and service. The caller holds mu.
func (c *Checker) shift(k regionService) *regionShift {
	if c.shifts.regions == nil {
		c.shifts.regions = make(map[regionService]*regionShift)
	}
	s := c.shifts.regions[k]
	if s == nil {
		s = &regionShift{hosts: make(map[ids.Instance]*shiftHost)}
		c.shifts.regions[k] = s
	}
	return s
}

// advanceSlices checks the level at the end of the newest slice, and starts the
// slice with number to. The caller holds mu.
func (c *Checker) advanceSlices(s *regionShift, t Takeover, to int64) {
	if to <= s.newestSlice {
		return
	}
	if level, lowest := s.levels(); level > lowest+s.maxGrowth() {
		c.breach("shift: %s takes over %.2f requests a second of %s, up from %.2f within %v; the cap is %.2f more",
			t.Region, level, t.Service, lowest, ShiftWindow, s.maxGrowth())
	}
	for i := max(s.newestSlice+1, to-shiftSlices+1); i <= to; i++ {
		s.requestCounts[i%shiftSlices] = 0
	}
	s.newestSlice = to
}

// levels returns the level at the end of the newest slice, and the lowest one
// within the window before.
func (s *regionShift) levels() (newest, lowest float64) {
	sum := 0
	for i := range periodSlices {
		sum += s.countAt(s.newestSlice - i)
	}
	newestSum, lowestSum := sum, sum
	for i := range windowSlices {
		sum += s.countAt(s.newestSlice-i-periodSlices) - s.countAt(s.newestSlice-i)
		lowestSum = min(lowestSum, sum)
	}
	return float64(newestSum) / ShiftPeriod.Seconds(), float64(lowestSum) / ShiftPeriod.Seconds()
}

// countAt returns the count of a slice, zero if it is not in the ring buffer.
func (s *regionShift) countAt(slice int64) int {
	if slice < 0 || s.newestSlice-slice >= shiftSlices {
		return 0
	}
	return s.requestCounts[slice%shiftSlices]
}

// maxGrowth returns by how much the level may grow within the window: the region's
// growth by the highest estimate of its hosts, one burst, and one request per host.
func (s *regionShift) maxGrowth() float64 {
	var growth float64
	active := 0
	for i, h := range s.hosts {
		if s.newestSlice-h.lastSlice >= periodSlices {
			delete(s.hosts, i)
			continue
		}
		active++
		if h.share > 0 {
			growth = max(growth, h.growth/h.share)
		}
	}
	return growth + (growth*ShiftBurst.Seconds()+float64(active))/ShiftPeriod.Seconds()
}
