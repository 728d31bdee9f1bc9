package checker

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The terms in which a shift of traffic is defined. A region's level is the
// number of requests a second that it took over from callers of other regions,
// as the mean of the last ShiftPeriod. Between any two times at most
// ShiftWindow apart, the level grows by no more than the shift cap times the
// region's capacity.
const (
	// ShiftPeriod is the time over which a level is the mean.
	ShiftPeriod = 15 * time.Second
	// ShiftWindow is the time within which a level may grow by the cap.
	ShiftWindow = time.Minute
	// ShiftBurst is how long a host may save up what it did not take over.
	ShiftBurst = 250 * time.Millisecond
	// ShiftSlice is the resolution at which requests are counted.
	ShiftSlice = 250 * time.Millisecond
)

const (
	periodSlices = int64(ShiftPeriod / ShiftSlice)
	windowSlices = int64(ShiftWindow / ShiftSlice)
	shiftSlices  = periodSlices + windowSlices
)

// Takeover is one request that a host took over from another region's callers.
type Takeover struct {
	Region  ids.Region
	Service ids.Service
	Host    ids.Instance
	// Share is the host's part of its region's seats.
	Share float64
	// Growth is what the host may take over more than before, in requests a
	// second.
	Growth float64
}

// shiftsState is what the Checker knows of shifts.
type shiftsState struct {
	regions map[shiftKey]*shiftState
}

type shiftKey struct {
	region  ids.Region
	service ids.Service
}

// shiftState holds what one region took over of one service.
type shiftState struct {
	// counts is a ring of the requests in each slice; index is the newest.
	counts [shiftSlices]int
	index  int64
	hosts  map[ids.Instance]*shiftHost
}

// shiftHost is what one host of the region was allowed when it last took over.
type shiftHost struct {
	share, growth float64
	at            int64
}

// ShiftTaken tells that a host took a request over. The growth of its region's
// level is checked against the cap at the end of each slice.
func (c *Checker) RequestTakenOver(t Takeover) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shift(shiftKey{t.Region, t.Service})
	c.advanceShift(s, t, time.Now().UnixNano()/int64(ShiftSlice))
	s.counts[s.index%shiftSlices]++
	h := s.hosts[t.Host]
	if h == nil {
		h = &shiftHost{}
		s.hosts[t.Host] = h
	}
	if s.index-h.at >= periodSlices {
		*h = shiftHost{}
	}
	h.at = s.index
	h.share = max(h.share, t.Share)
	h.growth = max(h.growth, t.Growth)
}

// shift returns the state of a region and service. The caller holds mu.
func (c *Checker) shift(k shiftKey) *shiftState {
	if c.shifts.regions == nil {
		c.shifts.regions = make(map[shiftKey]*shiftState)
	}
	s := c.shifts.regions[k]
	if s == nil {
		s = &shiftState{hosts: make(map[ids.Instance]*shiftHost)}
		c.shifts.regions[k] = s
	}
	return s
}

// advanceShift checks the slice that ends and starts the one with number to.
// The caller holds mu.
func (c *Checker) advanceShift(s *shiftState, t Takeover, to int64) {
	if to <= s.index {
		return
	}
	if now, least := s.levels(); now > least+s.bound() {
		c.breach("shift: %s takes over %.2f requests a second of %s, up from %.2f within %v; the cap is %.2f more",
			t.Region, now, t.Service, least, ShiftWindow, s.bound())
	}
	for i := max(s.index+1, to-shiftSlices+1); i <= to; i++ {
		s.counts[i%shiftSlices] = 0
	}
	s.index = to
}

// levels returns the level at the end of the newest slice, and the least one
// within the window before.
func (s *shiftState) levels() (now, least float64) {
	sum := 0
	for i := range periodSlices {
		sum += s.at(s.index - i)
	}
	newest, lowest := sum, sum
	for i := range windowSlices {
		sum += s.at(s.index-i-periodSlices) - s.at(s.index-i)
		lowest = min(lowest, sum)
	}
	return float64(newest) / ShiftPeriod.Seconds(), float64(lowest) / ShiftPeriod.Seconds()
}

// at returns the count of a slice, zero for those before the first.
func (s *shiftState) at(slice int64) int {
	if slice < 0 || s.index-slice >= shiftSlices {
		return 0
	}
	return s.counts[slice%shiftSlices]
}

// bound returns by how much the level may grow: by what the region may grow as
// the host with the highest estimate has it, a burst, and a request a host.
func (s *shiftState) bound() float64 {
	var growth float64
	active := 0
	for i, h := range s.hosts {
		if s.index-h.at >= periodSlices {
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
